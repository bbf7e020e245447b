// Package forward routes opaque requests and streams to backend servers.
//
// The router decides by a request's route and never reads its body. It chooses a
// model, where the route leaves the choice open, and a backend server, and decides
// whether to retry when an attempt returns no complete response. Three rules apply:
//
//   - A request that is unsafe to repeat is retried only if the server reports that
//     it did not run it, or if the request was never sent.
//   - A successful response reaches the caller only if it is complete, carries the
//     request's ID and has the server's signature.
//   - A stream is forwarded in complete events, so that another server can resume
//     it after the last one.
package forward
