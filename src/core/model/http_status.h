// The HTTP statuses that the state service, the cloud and workers answer with,
// and that pitchfall answers its own clients with.
#ifndef PITCHFALL_CORE_MODEL_HTTP_STATUS_H_
#define PITCHFALL_CORE_MODEL_HTTP_STATUS_H_

namespace pitchfall::http_status {

// Not a status of HTTP: no answer came. The request may have been carried out,
// or may yet be.
inline constexpr int kNoAnswer = 0;

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
// The state service: malformed, or larger than it accepts.
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
// The state service: a condition of the transaction is not met.
inline constexpr int kConflict = 409;
// The state service: the change log no longer reaches back so far.
inline constexpr int kGone = 410;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kUnprocessableContent = 422;
// The shared request rate is used up; nothing was carried out.
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace pitchfall::http_status

#endif  // PITCHFALL_CORE_MODEL_HTTP_STATUS_H_
