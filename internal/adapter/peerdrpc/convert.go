// Package peerdrpc carries the kernel's messages between proxies over drpc,
// with TLS where the settings name files.
package peerdrpc

import (
	"net/http"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

func stampOut(s peer.Stamp) *peerpb.Stamp {
	return &peerpb.Stamp{Wall: uint64(s.Wall), Count: s.Count}
}

func stampIn(s *peerpb.Stamp) peer.Stamp {
	return peer.Stamp{Wall: int64(s.GetWall()), Count: s.GetCount()}
}

func memberOut(m peer.Member) *peerpb.Member {
	return &peerpb.Member{
		Name:        m.Name,
		Address:     m.Address.String(),
		PeerAddress: m.PeerAddress.String(),
		Operators:   m.OperatorAddress.String(),
		Region:      m.Region,
		Domain:      m.Domain,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		State:       uint32(m.State),
		Successor:   m.Successor,
		Figures:     m.CapacityBundle,
	}
}

// memberIn reads a record. Addresses that do not parse stay invalid; the
// kernel keeps such a member but nobody can be sent to it.
func memberIn(m *peerpb.Member) peer.Member {
	address, _ := netip.ParseAddrPort(m.GetAddress())
	peerAddress, _ := netip.ParseAddrPort(m.GetPeerAddress())
	operators, _ := netip.ParseAddrPort(m.GetOperators())
	return peer.Member{
		Name:            m.GetName(),
		OperatorAddress: operators,
		Address:         address,
		PeerAddress:     peerAddress,
		Region:          m.GetRegion(),
		Domain:          m.GetDomain(),
		Incarnation:     m.GetIncarnation(),
		Sequence:        m.GetSequence(),
		State:           peer.MemberState(m.GetState()),
		Successor:       m.GetSuccessor(),
		CapacityBundle:  m.GetFigures(),
	}
}

func exchangeOut(e peer.Exchange) *peerpb.ExchangeMessage {
	out := &peerpb.ExchangeMessage{
		From:  e.From,
		Stamp: stampOut(e.Stamp),
		Versions: &peerpb.Versions{
			Bundle:     e.Versions.Bundle,
			Assignment: e.Versions.Assignment,
			Machines:   e.Versions.Machines,
			Members:    e.Versions.Members,
			Prefixes:   e.Versions.Prefixes,
			Known:      uint32(e.Versions.MemberCount),
		},
		Bundle:     e.Bundle,
		Assignment: e.Assignment,
		Machines:   e.Machines,
	}
	for _, m := range e.Members {
		out.Members = append(out.Members, memberOut(m))
	}
	for _, row := range e.Rows {
		one := &peerpb.Row{}
		for _, share := range row {
			one.Permille = append(one.Permille, uint32(share))
		}
		out.Rows = append(out.Rows, one)
	}
	out.Suspicions, out.Signals = suspicionsOut(e.QuarantineReports), signalsOut(e.BackpressureReports)
	return out
}

func exchangeIn(e *peerpb.ExchangeMessage) (peer.Exchange, error) {
	v := e.GetVersions()
	in := peer.Exchange{
		From:  e.GetFrom(),
		Stamp: stampIn(e.GetStamp()),
		Versions: peer.Versions{
			Bundle:      v.GetBundle(),
			Assignment:  v.GetAssignment(),
			Machines:    v.GetMachines(),
			Members:     v.GetMembers(),
			Prefixes:    v.GetPrefixes(),
			MemberCount: int(v.GetKnown()),
		},
		Bundle:     e.GetBundle(),
		Assignment: e.GetAssignment(),
		Machines:   e.GetMachines(),
	}
	for _, m := range e.GetMembers() {
		in.Members = append(in.Members, memberIn(m))
	}
	for _, row := range e.GetRows() {
		var one []int
		for _, share := range row.GetPermille() {
			one = append(one, int(share))
		}
		in.Rows = append(in.Rows, one)
	}
	var err error
	if in.QuarantineReports, err = suspicionsIn(e.GetSuspicions()); err != nil {
		return in, err
	}
	in.BackpressureReports, err = signalsIn(e.GetSignals())
	return in, err
}

func headerOut(h http.Header) []*peerpb.HeaderField {
	fields := make([]*peerpb.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, &peerpb.HeaderField{Name: name, Values: values})
	}
	return fields
}

func headerIn(fields []*peerpb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func answerOut(a *caller.Response) *peerpb.Answer {
	if a == nil {
		return nil
	}
	return &peerpb.Answer{Status: int32(a.Status), Header: headerOut(a.Header), Body: a.Body}
}

func answerIn(a *peerpb.Answer) *caller.Response {
	if a == nil {
		return nil
	}
	return &caller.Response{Status: int(a.GetStatus()), Header: headerIn(a.GetHeader()), Body: a.GetBody()}
}

func forwardOut(f peer.ForwardRequest) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		From:              f.From,
		Stamp:             stampOut(f.Stamp),
		Token:             f.Token,
		Service:           f.Service,
		Method:            f.Method,
		Path:              f.Path,
		Client:            f.Client,
		Header:            headerOut(f.Header),
		Body:              f.Body,
		DeadlineUnixMicro: f.Deadline.UnixMicro(),
	}
}

func forwardIn(f *peerpb.ForwardRequest) peer.ForwardRequest {
	return peer.ForwardRequest{
		From:     f.GetFrom(),
		Stamp:    stampIn(f.GetStamp()),
		Token:    f.GetToken(),
		Service:  f.GetService(),
		Method:   f.GetMethod(),
		Path:     f.GetPath(),
		Client:   f.GetClient(),
		Header:   headerIn(f.GetHeader()),
		Body:     f.GetBody(),
		Deadline: time.UnixMicro(f.GetDeadlineUnixMicro()),
	}
}

func replyOut(r peer.ForwardReply) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{
		Stamp:           stampOut(r.Stamp),
		Outcome:         uint32(r.Result.Outcome),
		Reason:          string(r.Result.Reason),
		RetryAfterMicro: r.Result.RetryAfter.Microseconds(),
		Answer:          answerOut(r.Result.Response),
	}
}

func replyIn(r *peerpb.ForwardReply) peer.ForwardReply {
	return peer.ForwardReply{
		Stamp: stampIn(r.GetStamp()),
		Result: caller.Result{
			Outcome:    caller.Outcome(r.GetOutcome()),
			Reason:     caller.Reason(r.GetReason()),
			RetryAfter: time.Duration(r.GetRetryAfterMicro()) * time.Microsecond,
			Response:   answerIn(r.GetAnswer()),
		},
	}
}

func handoverOut(h peer.HandoverRequest) *peerpb.HandoverRequest {
	out := &peerpb.HandoverRequest{From: h.From, Stamp: stampOut(h.Stamp)}
	for _, one := range h.Records {
		message := &peerpb.Handover{
			Minter:         one.Minter.Name,
			Incarnation:    one.Minter.Incarnation,
			Key:            one.Key[:],
			RetentionMilli: one.Retention.Milliseconds(),
		}
		for _, r := range one.Records {
			message.Records = append(message.Records, &peerpb.Record{
				Nonce:           r.Nonce[:],
				State:           uint32(r.State),
				Answer:          answerOut(r.Response),
				Dropped:         r.ResponseDropped,
				ExpiryUnixMilli: r.Expiry.UnixMilli(),
			})
		}
		out.Handovers = append(out.Handovers, message)
	}
	return out
}

func handoverIn(h *peerpb.HandoverRequest) peer.HandoverRequest {
	in := peer.HandoverRequest{From: h.GetFrom(), Stamp: stampIn(h.GetStamp())}
	for _, message := range h.GetHandovers() {
		one := caller.Handover{
			Minter:    caller.Minter{Name: message.GetMinter(), Incarnation: message.GetIncarnation()},
			Retention: time.Duration(message.GetRetentionMilli()) * time.Millisecond,
		}
		copy(one.Key[:], message.GetKey())
		for _, r := range message.GetRecords() {
			record := caller.TokenRecord{
				State:           uint8(r.GetState()),
				Response:        answerIn(r.GetAnswer()),
				ResponseDropped: r.GetDropped(),
				Expiry:          time.UnixMilli(r.GetExpiryUnixMilli()),
			}
			copy(record.Nonce[:], r.GetNonce())
			one.Records = append(one.Records, record)
		}
		in.Records = append(in.Records, one)
	}
	return in
}

// ExchangeBytes is the size of an exchange on the wire, without the frame.
func ExchangeBytes(e peer.Exchange) int { return proto.Size(exchangeOut(e)) }
