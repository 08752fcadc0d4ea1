// The platform's HTTP interfaces: paths, MessagePack field names and values.
// The core does not know them; it uses the types of core/model/messages.h.
#ifndef PITCHFALL_WIRE_CODEC_H_
#define PITCHFALL_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/messages.h"

namespace pitchfall::wire {

// The result of decoding a message. If the message is invalid, `value` is empty
// and `error` says why.
template <typename T>
struct Decoded {
  std::optional<T> value;
  std::string error;
};

// ---- Users and workers, incoming ----

inline constexpr char kJobsPath[] = "/api/jobs";
inline constexpr char kCancelSuffix[] = "/cancel";
inline constexpr char kHealthPath[] = "/healthz";
inline constexpr char kHeartbeatPath[] = "/checkin";

// Whether `id` has the form of a job id: "run-" and 1 to 20 digits.
bool ValidJobId(std::string_view id);
// Decoders of the request bodies that users and workers send.
Decoded<JobSpec> DecodeSubmission(std::string_view body);
Decoded<WorkerHeartbeat> DecodeWorkerHeartbeat(std::string_view body);
std::string EncodeReplyBody(const ReplyBody& body);

// ---- Outgoing ----

// A request to a service; it is a GET unless `post` is set.
struct HttpRequest {
  bool post = false;
  std::string path;
  std::string body;  // empty for a GET
};

// Decoders of responses take the HTTP status (0: no response came) and the
// body. They leave `call` of the reply to the caller. If a response with status
// 200 from the state service or the cloud cannot be read, the reply's status is
// 0: as without a response, it is unknown whether the request took effect.
HttpRequest EncodeState(const StateRequest& request);
StateReply DecodeState(const StateRequest& request, int status,
                       std::string_view body);
HttpRequest EncodeCloud(const CloudRequest& request);
CloudReply DecodeCloud(const CloudRequest& request, int status,
                       std::string_view body);
HttpRequest EncodeWorker(const WorkerRequest& request);
// The reply has a heartbeat if the status is 200 or 409 and the body is a valid
// one.
WorkerReply DecodeWorker(int status, std::string_view body);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_CODEC_H_
