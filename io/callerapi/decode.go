package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"sassafrasward/core/reason"
	"sassafrasward/io/wire"
)

// Decode parses the body of a pipeline request, which must be exactly one JSON object. A reason
// other than None says why the body is refused.
func Decode(body io.Reader) (request wire.Request, why reason.Reason, detail string) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	// Decoding into a pointer distinguishes null, which decodes into anything, from an object.
	var object *wire.Request
	err := decoder.Decode(&object)
	if err == nil && object == nil {
		return request, reason.Malformed, "the body is null"
	}
	if err == nil {
		err = checkEOF(decoder)
	}
	if err != nil {
		why, detail = decodeError(err)
		return wire.Request{}, why, detail
	}
	return *object, reason.None, ""
}

// checkEOF returns an error if anything but white space follows the object.
func checkEOF(decoder *json.Decoder) error {
	_, err := decoder.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errors.New("there is data after the JSON object")
	default:
		return fmt.Errorf("after the JSON object: %w", err)
	}
}

func decodeError(err error) (why reason.Reason, detail string) {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return reason.BodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reason.Malformed, "the body did not arrive in time"
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return reason.InvalidField, fmt.Sprintf("%s must be of type %s", wrongType.Field, wrongType.Type)
	case strings.HasPrefix(err.Error(), "json: unknown field"):
		return reason.InvalidField, err.Error()
	default:
		return reason.Malformed, err.Error()
	}
}
