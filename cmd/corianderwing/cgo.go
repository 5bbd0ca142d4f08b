package main

// The platform redirects the C library's calls, so the program must be linked
// against it.

import "C"
