package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/route"
)

const (
	benchVMs      = 2800
	benchServices = 240
	benchZones    = 15
)

func benchFleet() ([]gage.Member, gage.Config) {
	var c gage.Config
	for i := range benchServices {
		c.Services = append(c.Services, gage.Service{Name: fmt.Sprint("service-", i), ColdConcurrency: 4})
	}
	members := make([]gage.Member, benchVMs)
	for i := range members {
		members[i] = gage.Member{
			VM: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i/benchServices%benchZones), Phase: gage.MemberAlive,
			Targets: []gage.TargetRecord{{
				Name: fmt.Sprint("target-", i), Service: fmt.Sprint("service-", i%benchServices), Phase: gage.TargetServing,
			}},
		}
	}
	return members, c
}

func BenchmarkPickAndObserve(b *testing.B) {
	r := route.New(route.Self{VM: "vm-0", Zone: "zone-0"}, route.Source(1))
	members, c := benchFleet()
	r.Update(now, members, c)
	normalCall := gage.Call{Service: "service-7", Importance: gage.ImportanceNormal, Depth: 1}
	result := idleResult()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			choice := r.Pick(now, normalCall, nil)
			r.Observe(now, choice, result, time.Millisecond)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	r := route.New(route.Self{VM: "vm-0", Zone: "zone-0"}, route.Source(1))
	members, c := benchFleet()
	r.Update(now, members, c)
	normalCall := gage.Call{Service: "service-7", Importance: gage.ImportanceNormal, Depth: 1}
	for range 1000 {
		r.Observe(now, r.Pick(now, normalCall, nil), idleResult(), 0)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r.Pick(now, normalCall, nil)
	}
}

func BenchmarkUpdate(b *testing.B) {
	r := route.New(route.Self{VM: "vm-0", Zone: "zone-0"}, route.Source(1))
	members, c := benchFleet()
	b.ReportAllocs()
	for range b.N {
		r.Update(now, members, c)
	}
}
