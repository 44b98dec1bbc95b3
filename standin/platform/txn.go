package platform

import (
	"bytes"
	"cmp"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dotterelgw/io/platform/etcdpb"
)

// valueLimit is the maximum size of a value in bytes.
const valueLimit = 1 << 20

// Errors with the codes and texts of etcd.
var (
	errCompacted      = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
	errTooLarge       = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errEmptyKey       = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
	errDuplicateKey   = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errLeaseNotFound  = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errLeaseExists    = status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	errTooManyCalls   = status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
	errOutage         = status.Error(codes.Unavailable, "etcdserver: no leader")
	errLostAnswer     = status.Error(codes.Unavailable, "etcdserver: request timed out")
)

// validateTxn returns the errors for which a transaction is refused before it is executed.
func validateTxn(request *etcdpb.TxnRequest) error {
	for _, operations := range [][]*etcdpb.RequestOp{request.GetSuccess(), request.GetFailure()} {
		written := map[string]bool{}
		for _, operation := range operations {
			put := operation.GetRequestPut()
			switch {
			case put == nil:
				continue
			case len(put.GetKey()) == 0:
				return errEmptyKey
			case len(put.GetValue()) > valueLimit:
				return errTooLarge
			case written[string(put.GetKey())]:
				return errDuplicateKey
			}
			written[string(put.GetKey())] = true
		}
	}
	return nil
}

func isWriteTxn(request *etcdpb.TxnRequest) bool {
	for _, operations := range [][]*etcdpb.RequestOp{request.GetSuccess(), request.GetFailure()} {
		for _, operation := range operations {
			if operation.GetRequestPut() != nil {
				return true
			}
		}
	}
	return false
}

// executeTxn executes a transaction; all its writes get the same revision.
func (store *store) executeTxn(request *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	response := &etcdpb.TxnResponse{Succeeded: true}
	for _, compare := range request.GetCompare() {
		if !store.satisfied(compare) {
			response.Succeeded = false
			break
		}
	}
	operations := request.GetSuccess()
	if !response.Succeeded {
		operations = request.GetFailure()
	}
	for _, operation := range operations {
		lease := operation.GetRequestPut().GetLease()
		if _, ok := store.leases[lease]; lease != 0 && !ok {
			return nil, errLeaseNotFound
		}
		if read := operation.GetRequestRange(); read.GetRevision() > store.revision {
			return nil, errFutureRevision
		} else if read.GetRevision() > 0 && read.GetRevision() < store.compacted {
			return nil, errCompacted
		}
	}
	raised := false
	for _, operation := range operations {
		if put := operation.GetRequestPut(); put != nil {
			if !raised {
				store.revision++
				raised = true
			}
			store.put(put)
			response.Responses = append(response.Responses, &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponsePut{
				ResponsePut: &etcdpb.PutResponse{Header: store.header()},
			}})
			continue
		}
		read, err := store.read(operation.GetRequestRange())
		if err != nil {
			return nil, err
		}
		response.Responses = append(response.Responses, &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseRange{
			ResponseRange: read,
		}})
	}
	if raised {
		store.notifyWatches()
	}
	response.Header = store.header()
	return response, nil
}

// satisfied evaluates a comparison. A key that does not exist compares as zero; comparisons of its value are false.
func (store *store) satisfied(compare *etcdpb.Compare) bool {
	kv := store.at(string(compare.GetKey()), 0)
	var order int
	switch compare.GetTarget() {
	case etcdpb.Compare_VERSION:
		order = cmp.Compare(kv.GetVersion(), compare.GetVersion())
	case etcdpb.Compare_CREATE:
		order = cmp.Compare(kv.GetCreateRevision(), compare.GetCreateRevision())
	case etcdpb.Compare_MOD:
		order = cmp.Compare(kv.GetModRevision(), compare.GetModRevision())
	case etcdpb.Compare_LEASE:
		order = cmp.Compare(kv.GetLease(), compare.GetLease())
	case etcdpb.Compare_VALUE:
		if kv == nil {
			return false
		}
		order = bytes.Compare(kv.GetValue(), compare.GetValue())
	}
	switch compare.GetResult() {
	case etcdpb.Compare_EQUAL:
		return order == 0
	case etcdpb.Compare_GREATER:
		return order > 0
	case etcdpb.Compare_LESS:
		return order < 0
	default:
		return order != 0
	}
}
