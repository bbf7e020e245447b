// Package inifile reads INI files with positions and checks them strictly.
//
// The syntax is that of gopkg.in/ini.v1, which gives no line numbers of keys, so
// the source is scanned a second time for the line of each section and key. A
// [Decoder] turns values into typed fields, collects every fault with its
// position, and reports the keys and sections that were never read.
package inifile
