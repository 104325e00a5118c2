package dispatch

// Software is what backend servers must have in common for one to go on with a stream that
// another has begun: their service and the version of their software.
type Software struct{ Service, Version string }
