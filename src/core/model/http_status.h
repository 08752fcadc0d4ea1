// HTTP status codes of the state service, the cloud and the workers, and those
// that pitchfall sends to its own clients.
#ifndef PITCHFALL_CORE_MODEL_HTTP_STATUS_H_
#define PITCHFALL_CORE_MODEL_HTTP_STATUS_H_

namespace pitchfall::http_status {

// Not an HTTP status code: no answer arrived. The request may have been carried
// out already, or may still be.
inline constexpr int kNoAnswer = 0;

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
// From the state service: the request is malformed or too large.
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
// From the state service: a condition of the transaction is not met.
inline constexpr int kConflict = 409;
// From the state service: the change log no longer contains the revision from
// which changes were requested.
inline constexpr int kGone = 410;
// To workers: another controller owns the worker's partition.
inline constexpr int kMisdirectedRequest = 421;
// To users: the job can never run in this deployment.
inline constexpr int kUnprocessableContent = 422;
// The shared request rate is used up, and the request was not carried out.
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace pitchfall::http_status

#endif  // PITCHFALL_CORE_MODEL_HTTP_STATUS_H_
