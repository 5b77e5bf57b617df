package hotrestart

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var fit = ConnectionState{AtLineBoundary: true, NothingBuffered: true, OwnsSockets: true}

// Whatever comes in whatever order, each connection has one owner, few are offered at once, and all that is left is
// told to be moved once.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ids = 2 * MaxPendingOffers
		longest, now := Micros(rapid.Int64Range(0, 3_000_000).Draw(t, "longest")), Micros(0)
		p := New(now, longest)
		offered, given, refused, linked, moved := map[uint32]bool{}, map[uint32]bool{}, map[uint32]bool{}, true, false
		// few, so that they meet again
		id := func(t *rapid.T) uint32 { return uint32(rapid.IntRange(0, 5).Draw(t, "id")) }
		offer := func(t *rapid.T, i uint32, l ConnectionState) {
			if given[i] {
				return // it is gone, and not looked at
			}
			want := linked && l == fit && !offered[i] && !refused[i] && len(offered) < MaxPendingOffers
			if got := p.Offer(i, l); got != want {
				t.Fatalf("%d offered: %v, want %v", i, got, want)
			}
			if want {
				offered[i] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				l := fit
				if rapid.IntRange(0, 4).Draw(t, "unfit") == 0 {
					l = ConnectionState{
						AtLineBoundary:  rapid.Bool().Draw(t, "between"),
						OwnsSockets:     true,
						NothingBuffered: true,
						PinnedToProcess: true,
					}
				}
				offer(t, id(t), l)
			},
			"offer all": func(t *rapid.T) {
				for i := range uint32(ids) {
					offer(t, i, fit)
				}
			},
			"unsent": func(t *rapid.T) {
				i := id(t)
				p.CancelOffer(i)
				delete(offered, i)
			},
			"answer": func(t *rapid.T) {
				i, taken := id(t), rapid.Bool().Draw(t, "taken")
				if got := p.Answered(i, taken); got != offered[i] {
					t.Fatalf("an answer for %d is known: %v", i, got)
				}
				if offered[i] {
					delete(offered, i)
					given[i], refused[i] = taken, !taken
				}
			},
			"end": func(t *rapid.T) {
				back := p.LinkClosed()
				linked = false
				if len(back) != len(offered) || !slices.IsSorted(back) {
					t.Fatalf("%v came back of %v", back, offered)
				}
				for _, i := range back {
					if !offered[i] || given[i] {
						t.Fatalf("%d came back", i)
					}
					refused[i] = true
				}
				clear(offered)
			},
			"wait": func(t *rapid.T) { now += Micros(rapid.Int64Range(0, int64(OfferPeriod)).Draw(t, "span")) },
			"rest": func(t *rapid.T) {
				move, cut := p.DrainRest(now)
				if want := !moved && (!linked || now >= min(OfferPeriod, longest/2)); move != want ||
					cut != (want && len(offered) > 0) {
					t.Fatalf("rest at %d: %v, %v", now, move, cut)
				}
				moved = moved || move
				if p.Draining() != moved {
					t.Fatal("moving")
				}
			},
		})
	})
}

// Each reason alone keeps a connection, or an arrival, where it is.
func TestEachReason(t *testing.T) {
	for name, spoil := range map[string]func(*ConnectionState){
		"in a line": func(l *ConnectionState) { l.AtLineBoundary = false }, "kept back": func(l *ConnectionState) { l.NothingBuffered = false },
		"a channel": func(l *ConnectionState) { l.OwnsSockets = false }, "bound": func(l *ConnectionState) { l.PinnedToProcess = true },
	} {
		l := fit
		if spoil(&l); New(0, OfferPeriod).Offer(1, l) {
			t.Errorf("%s: offered", name)
		}
	}
	good := OfferedConnection{Sockets: 2, ServerListed: true, IDUnused: true}
	for name, spoil := range map[string]func(*OfferedConnection){
		"one socket": func(a *OfferedConnection) { a.Sockets = 1 }, "three": func(a *OfferedConnection) { a.Sockets = 3 },
		"an unknown server": func(a *OfferedConnection) { a.ServerListed = false }, "an id seen": func(a *OfferedConnection) { a.IDUnused = false },
		"leaving": func(a *OfferedConnection) { a.Draining = true }, "short": func(a *OfferedConnection) { a.DescriptorsShort = true },
	} {
		a := good
		if spoil(&a); !AcceptTransfer(good) || AcceptTransfer(a) {
			t.Errorf("%s: taken", name)
		}
	}
}
