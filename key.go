package corianderwing

import (
	"crypto/hmac"
	"crypto/sha256"
)

// HashKey returns the keyed hash by which a caller's key is stored and looked up.
// Without the fleet's secret, stored hashes cannot be attacked by guessing keys.
func HashKey(secret []byte, key string) KeyHash {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	var h KeyHash
	mac.Sum(h[:0])
	return h
}
