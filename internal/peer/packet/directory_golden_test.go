package packet

import (
	"encoding/hex"
	"net/netip"
	"testing"

	"spurspread/decision/zonedirectory"
)

// Directory messages are encoded to exactly these bytes, which other versions of the program decode.
func TestDirectoryStableForm(t *testing.T) {
	full := fullMessage()
	versions := full
	versions.Kind = zonedirectory.SyncVersions
	versions.Items = nil
	probe := zonedirectory.Message{Kind: zonedirectory.Probe, From: 1, Instance: 2, Zone: 4, Seq: 3}
	for _, c := range []struct {
		name    string
		message zonedirectory.Message
		want    string
	}{
		{"update", full, "" +
			"020a000000000000feed00000000000000150000000000000001000000000000000210fd000000000000000000000000" +
			"0000011f0a0000000000000004000000000000000000000003010000000000000006010000000000000001ac02000000" +
			"020301046561737406656173742d310900000000000000077d8201010000000000000007040a0000041f0a0100000000" +
			"00000005020000000000000004000000000000000701020000000000000005000000000000000603066c696d69747302" +
			"07612076616c7565"},
		{"versions", versions, "" +
			"020b000000000000feed00000000000000150000000000000001000000000000000210fd000000000000000000000000" +
			"0000011f0a0000000000000004000000000000000000000003010000000000000006010000000000000001ac02000000" +
			"0200"},
		{"probe", probe, "" +
			"0208000000000000feed00000000000000150000000000000001000000000000000210fd000000000000000000000000" +
			"0000011f0a00000000000000040000000000000000000000030000000000000000000000"},
	} {
		e := Envelope{ReceiverInstance: 0xfeed, Counter: 21, Addr: netip.MustParseAddrPort("[fd00::1]:7946"), Zone: 4}
		if got := hex.EncodeToString(EncodeDirectory(nil, e, &c.message)); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}
