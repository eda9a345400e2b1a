// Package peerdrpc sends and receives the kernel's messages between proxies over DRPC. Connections
// use TLS if the settings name certificate files.
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

func encodeStamp(s peer.Stamp) *peerpb.Stamp {
	return &peerpb.Stamp{Wall: uint64(s.Wall), Count: s.Count}
}

func decodeStamp(s *peerpb.Stamp) peer.Stamp {
	return peer.Stamp{Wall: int64(s.GetWall()), Count: s.GetCount()}
}

func encodeMember(m peer.Member) *peerpb.Member {
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

// decodeMember converts a member record. Addresses that do not parse stay invalid: the kernel keeps
// the member, but nothing can be sent to it.
func decodeMember(m *peerpb.Member) peer.Member {
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

func encodeExchange(e peer.Exchange) *peerpb.ExchangeMessage {
	out := &peerpb.ExchangeMessage{
		From:  e.From,
		Stamp: encodeStamp(e.Stamp),
		Versions: &peerpb.Versions{
			Bundle:     e.Versions.Bundle,
			Assignment: e.Versions.Assignment,
			Machines:   e.Versions.VMList,
			Members:    e.Versions.Members,
			Prefixes:   e.Versions.Prefixes,
			Known:      uint32(e.Versions.MemberCount),
		},
		Bundle:     e.Bundle,
		Assignment: e.Assignment,
		Machines:   e.VMList,
	}
	for _, m := range e.Members {
		out.Members = append(out.Members, encodeMember(m))
	}
	for _, row := range e.Rows {
		encoded := &peerpb.Row{}
		for _, share := range row {
			encoded.Permille = append(encoded.Permille, uint32(share))
		}
		out.Rows = append(out.Rows, encoded)
	}
	out.Suspicions, out.Signals = encodeQuarantineReports(e.QuarantineReports), encodeBackpressureReports(e.BackpressureReports)
	return out
}

func decodeExchange(e *peerpb.ExchangeMessage) (peer.Exchange, error) {
	v := e.GetVersions()
	in := peer.Exchange{
		From:  e.GetFrom(),
		Stamp: decodeStamp(e.GetStamp()),
		Versions: peer.Versions{
			Bundle:      v.GetBundle(),
			Assignment:  v.GetAssignment(),
			VMList:      v.GetMachines(),
			Members:     v.GetMembers(),
			Prefixes:    v.GetPrefixes(),
			MemberCount: int(v.GetKnown()),
		},
		Bundle:     e.GetBundle(),
		Assignment: e.GetAssignment(),
		VMList:     e.GetMachines(),
	}
	for _, m := range e.GetMembers() {
		in.Members = append(in.Members, decodeMember(m))
	}
	for _, row := range e.GetRows() {
		var shares []int
		for _, share := range row.GetPermille() {
			shares = append(shares, int(share))
		}
		in.Rows = append(in.Rows, shares)
	}
	var err error
	if in.QuarantineReports, err = decodeQuarantineReports(e.GetSuspicions()); err != nil {
		return in, err
	}
	in.BackpressureReports, err = decodeBackpressureReports(e.GetSignals())
	return in, err
}

func encodeHeader(h http.Header) []*peerpb.HeaderField {
	fields := make([]*peerpb.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, &peerpb.HeaderField{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*peerpb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func encodeResponse(r *caller.Response) *peerpb.Answer {
	if r == nil {
		return nil
	}
	return &peerpb.Answer{Status: int32(r.Status), Header: encodeHeader(r.Header), Body: r.Body}
}

func decodeResponse(r *peerpb.Answer) *caller.Response {
	if r == nil {
		return nil
	}
	return &caller.Response{Status: int(r.GetStatus()), Header: decodeHeader(r.GetHeader()), Body: r.GetBody()}
}

func encodeForwardRequest(f peer.ForwardRequest) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		From:              f.From,
		Stamp:             encodeStamp(f.Stamp),
		Token:             f.Token,
		Service:           f.Service,
		Method:            f.Method,
		Path:              f.Path,
		Client:            f.Client,
		Header:            encodeHeader(f.Header),
		Body:              f.Body,
		DeadlineUnixMicro: f.Deadline.UnixMicro(),
	}
}

func decodeForwardRequest(f *peerpb.ForwardRequest) peer.ForwardRequest {
	return peer.ForwardRequest{
		From:     f.GetFrom(),
		Stamp:    decodeStamp(f.GetStamp()),
		Token:    f.GetToken(),
		Service:  f.GetService(),
		Method:   f.GetMethod(),
		Path:     f.GetPath(),
		Client:   f.GetClient(),
		Header:   decodeHeader(f.GetHeader()),
		Body:     f.GetBody(),
		Deadline: time.UnixMicro(f.GetDeadlineUnixMicro()),
	}
}

func encodeForwardReply(r peer.ForwardReply) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{
		Stamp:           encodeStamp(r.Stamp),
		Outcome:         uint32(r.Result.Outcome),
		Reason:          string(r.Result.Reason),
		RetryAfterMicro: r.Result.RetryAfter.Microseconds(),
		Answer:          encodeResponse(r.Result.Response),
	}
}

func decodeForwardReply(r *peerpb.ForwardReply) peer.ForwardReply {
	return peer.ForwardReply{
		Stamp: decodeStamp(r.GetStamp()),
		Result: caller.Result{
			Outcome:    caller.Outcome(r.GetOutcome()),
			Reason:     caller.Reason(r.GetReason()),
			RetryAfter: time.Duration(r.GetRetryAfterMicro()) * time.Microsecond,
			Response:   decodeResponse(r.GetAnswer()),
		},
	}
}

func encodeHandover(h peer.HandoverRequest) *peerpb.HandoverRequest {
	out := &peerpb.HandoverRequest{From: h.From, Stamp: encodeStamp(h.Stamp)}
	for _, handover := range h.Records {
		message := &peerpb.Handover{
			Minter:         handover.Minter.Name,
			Incarnation:    handover.Minter.Incarnation,
			Key:            handover.Key[:],
			RetentionMilli: handover.Retention.Milliseconds(),
		}
		for _, r := range handover.Records {
			message.Records = append(message.Records, &peerpb.Record{
				Nonce:           r.Nonce[:],
				State:           uint32(r.State),
				Answer:          encodeResponse(r.Response),
				Dropped:         r.ResponseDropped,
				ExpiryUnixMilli: r.Expiry.UnixMilli(),
			})
		}
		out.Handovers = append(out.Handovers, message)
	}
	return out
}

func decodeHandover(h *peerpb.HandoverRequest) peer.HandoverRequest {
	in := peer.HandoverRequest{From: h.GetFrom(), Stamp: decodeStamp(h.GetStamp())}
	for _, message := range h.GetHandovers() {
		handover := caller.Handover{
			Minter:    caller.Minter{Name: message.GetMinter(), Incarnation: message.GetIncarnation()},
			Retention: time.Duration(message.GetRetentionMilli()) * time.Millisecond,
		}
		copy(handover.Key[:], message.GetKey())
		for _, r := range message.GetRecords() {
			record := caller.TokenRecord{
				State:           uint8(r.GetState()),
				Response:        decodeResponse(r.GetAnswer()),
				ResponseDropped: r.GetDropped(),
				Expiry:          time.UnixMilli(r.GetExpiryUnixMilli()),
			}
			copy(record.Nonce[:], r.GetNonce())
			handover.Records = append(handover.Records, record)
		}
		in.Records = append(in.Records, handover)
	}
	return in
}

// ExchangeSize returns the encoded size of an exchange in bytes, without framing.
func ExchangeSize(e peer.Exchange) int { return proto.Size(encodeExchange(e)) }
