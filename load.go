package corianderwing

// Percent is a ratio in hundredths: 100 is a ratio of 1.
type Percent int32

// UpstreamLoad is the load that an upstream reports in the header of a response.
type UpstreamLoad struct {
	Running  int     // requests in progress, excluding the one that the response answers
	Waiting  int     // requests that wait for a slot at the upstream
	Slots    Slots   // slots of the upstream
	WorkTime Percent // how long work takes there now, relative to the usual; 0 if not reported
}
