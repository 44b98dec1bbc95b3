package ids_test

import (
	"testing"

	"dotterelgw/core/ids"
)

// Guards against an identifier that is read as several fields or lines.
func TestIsIdentifier(t *testing.T) {
	for text, want := range map[string]bool{
		"i-7f3a91c2": true, "huvo11a": true, "g_1/ö.日": true, "-": true,
		"": false, " ": false, "a b": false, "a ": false, "a\r\nb": false, "a\n": false, "a\t": false, "a\x00": false, "a\x7f": false,
		"a\u0085": false, "a\xff": false,
	} {
		if got := ids.IsIdentifier(text); got != want {
			t.Errorf("%q: got %t", text, got)
		}
	}
}
