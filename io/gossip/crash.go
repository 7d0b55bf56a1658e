package gossip

import (
	"strconv"

	"sassafrasward/core/member"
	"sassafrasward/core/suspect"
)

// CrashFact returns the fact that tells other hosts of evidence against a request. The origin of the
// record is the incarnation of a host in hexadecimal digits.
func CrashFact(r suspect.CrashRecord) (c member.Crash, err error) {
	observer, err := strconv.ParseUint(r.Origin(), 16, 64)
	if err != nil {
		return member.Crash{}, err
	}
	return member.Crash{Fingerprint: r.Fingerprint(), Observer: observer, Crashes: uint64(r.Evidence()), Cleared: uint64(r.Cleared())}, nil
}

// PartFact returns the fact that tells other hosts of evidence against a part of prompts.
func PartFact(r suspect.PartRecord) member.Crash {
	return member.Crash{Fingerprint: r.Part(), Observer: r.Crash(), Part: true, Crashes: uint64(r.Evidence()), Cleared: uint64(r.Cleared())}
}

// CrashRecord returns the evidence of a fact about a request.
func CrashRecord(c member.Crash) suspect.CrashRecord {
	return suspect.NewCrashRecord(c.Fingerprint, strconv.FormatUint(c.Observer, 16), int(c.Crashes), int(c.Cleared))
}

// PartRecord returns the evidence of a fact about a part of prompts.
func PartRecord(c member.Crash) suspect.PartRecord {
	return suspect.NewPartRecord(c.Fingerprint, c.Observer, int(c.Crashes), int(c.Cleared))
}
