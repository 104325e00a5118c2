package watch

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/examples"
)

// exampleItems returns the items of the example document with additional client
// accounts.
func exampleItems(tb testing.TB, accounts int) []*controlv1.ConfigItem {
	tb.Helper()
	document, err := config.Decode(examples.HaddonPryce)
	require.NoError(tb, err)
	sample := document.ClientAccounts[0]
	for i := range accounts {
		account := sample
		account.Name = fmt.Sprintf("account-%05d", i)
		account.Keys = []config.Key{{SHA256: config.HashKey(account.Name)}}
		document.ClientAccounts = append(document.ClientAccounts, account)
	}
	items, err := config.Items(document)
	require.NoError(tb, err)
	for _, item := range items {
		item.Revision = 1
	}
	return items
}

// BenchmarkApplyAccountChange measures applying a change of one client account.
func BenchmarkApplyAccountChange(b *testing.B) {
	for _, accounts := range []int{270, 2700, 27000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			items := exampleItems(b, accounts)
			w := newWatcher()
			digest := config.Digest(items)
			_, err := w.Apply(&controlv1.GetConfigResponse{Revision: 1, Full: true, Items: items, Digest: digest})
			require.NoError(b, err)
			last := items[len(items)/2]
			b.ReportAllocs()
			for revision := uint64(2); b.Loop(); revision++ {
				next := &controlv1.ConfigItem{Kind: last.Kind, Name: last.Name, Body: last.Body, Revision: revision}
				digest += config.ItemDigest(next) - config.ItemDigest(last)
				last = next
				applied, err := w.Apply(&controlv1.GetConfigResponse{
					Revision: revision, BaseRevision: revision - 1, Items: []*controlv1.ConfigItem{next}, Digest: digest,
				})
				if err != nil || !applied {
					b.Fatal(applied, err)
				}
			}
		})
	}
}

// BenchmarkDocumentMemory reports the memory of an applied document: items,
// decoded sections and lookup maps.
func BenchmarkDocumentMemory(b *testing.B) {
	for _, accounts := range []int{270, 2700, 27000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				w := newWatcher()
				items := exampleItems(b, accounts)
				_, err := w.Apply(&controlv1.GetConfigResponse{Revision: 1, Full: true, Items: items, Digest: config.Digest(items)})
				require.NoError(b, err)
				items = nil
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(w)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkItemBytes reports the encoded size of one client account in a delta.
func BenchmarkItemBytes(b *testing.B) {
	items := exampleItems(b, 1)
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(items[0])), "bytes")
	}
}
