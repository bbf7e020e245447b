// Package inifile reads INI files with positions and checks them strictly.
//
// The syntax is that of gopkg.in/ini.v1, which reports no lines for keys. The
// source is therefore scanned a second time for the line of each key. A
// [Decoder] turns values into typed fields, collects every fault with its
// position, and reports the keys and sections that nothing asked for.
package inifile
