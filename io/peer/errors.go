package peer

import (
	"context"
	"encoding/json"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"corianderwing"
)

// toStatus converts a handler's error to a gRPC status. A corianderwing.Error is sent
// as JSON in the status message, so that the caller receives its code and whether
// the request was executed.
func toStatus(err error) error {
	if err == nil {
		return nil
	}
	var e *corianderwing.Error
	if !errors.As(err, &e) {
		return status.FromContextError(err).Err()
	}
	text, jsonErr := json.Marshal(e)
	if jsonErr != nil {
		return status.Error(codes.Internal, e.Error())
	}
	return status.Error(codes.Aborted, string(text))
}

// fromStatus converts a gRPC status back to an error on the caller's side.
func fromStatus(err error) error {
	if err == nil {
		return nil
	}
	s, ok := status.FromError(err)
	if !ok {
		return err
	}
	switch s.Code() {
	case codes.Aborted:
		e := new(corianderwing.Error)
		if json.Unmarshal([]byte(s.Message()), e) == nil {
			return e
		}
	case codes.DeadlineExceeded:
		return context.DeadlineExceeded
	case codes.Canceled:
		return context.Canceled
	}
	return err
}
