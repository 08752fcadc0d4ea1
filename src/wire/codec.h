// The platform's words and forms. Nothing outside this folder knows them.
#ifndef PITCHFALL_WIRE_CODEC_H_
#define PITCHFALL_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/messages.h"

namespace pitchfall::wire {

// What came in could not be understood; `error` says why.
template <typename T>
struct Decoded {
  std::optional<T> value;
  std::string error;
};

// ---- Users and workers, incoming ----

inline constexpr char kJobsPath[] = "/api/jobs";
inline constexpr char kCancelEnd[] = "/cancel";
inline constexpr char kHealthPath[] = "/healthz";
inline constexpr char kHeartbeatPath[] = "/checkin";

bool ValidJobId(std::string_view id);
Decoded<JobSpec> DecodeSubmission(std::string_view body);
Decoded<WorkerHeartbeat> DecodeWorkerHeartbeat(std::string_view body);
std::string EncodeReplyBody(const ReplyBody& body);

// ---- Outgoing ----

struct HttpRequest {
  bool post = false;
  std::string path;
  std::string body;
};

HttpRequest EncodeState(const StateRequest& request);
StateReply DecodeState(const StateRequest& request, int status,
                       std::string_view body);
HttpRequest EncodeCloud(const CloudRequest& request);
CloudReply DecodeCloud(const CloudRequest& request, int status,
                       std::string_view body);
HttpRequest EncodeWorker(const WorkerRequest& request);
WorkerReply DecodeWorker(int status, std::string_view body);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_CODEC_H_
