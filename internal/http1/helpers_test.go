package http1

import "errors"

// feedInFragments feeds a message to a decoder in fragments of n bytes. It returns the part of the input that follows the message.
func feedInFragments(feed func([]byte) (int, error), done func() bool, in string, n int) (string, error) {
	for len(in) > 0 && !done() {
		fragment := in[:min(n, len(in))]
		k, err := feed([]byte(fragment))
		if err != nil {
			return in, err
		}
		if k < len(fragment) && !done() {
			return in, errors.New("the decoder left bytes unconsumed before the message was complete")
		}
		in = in[k:]
	}
	return in, nil
}

// fragmentSizes are the sizes in bytes of the fragments in which the tests feed each message.
var fragmentSizes = []int{1, 2, 3, 16, 1 << 20}
