package inifile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecoderReportsEveryFaultWithItsPosition(t *testing.T) {
	f, err := Parse("x.ini", []byte("[a]\n  n = 12\nd = soon\nextra = 1\n\n[b]\nk = ${missing}\n"))
	require.NoError(t, err)
	d := NewDecoder(f, map[string]string{})
	s := d.SingleSection("a")
	require.Equal(t, 12, d.Int(s, "n", 0, 0, 20))
	require.Equal(t, time.Second, d.Duration(s, "d", time.Second, 0, time.Minute))
	b := d.SingleSection("b")
	d.String(b, "k", "")
	require.EqualError(t, d.Finish(), `x.ini:3:1: d = "soon" is out of range (use a duration from 0s to 1m0s, such as 500ms)
x.ini:4:1: key "extra" is unknown in [a] (remove it or correct its name)
x.ini:7:1: parameter "missing" has no value (add it to [parameters])
correct the lines listed`)
}

func TestParseReportsDuplicateSectionsAndKeys(t *testing.T) {
	_, err := Parse("x.ini", []byte("[a]\nk = 1\nk = 2\n[a]\n"))
	require.ErrorContains(t, err, `x.ini:3:1: key "k" is defined more than once`)
	require.ErrorContains(t, err, `x.ini:4:1: section "a" is defined more than once`)
}
