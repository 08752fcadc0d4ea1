// The fakes behind real sockets on loopback: a platform for trying
// pitchfall out by hand and for the test of the real program.
#ifndef PITCHFALL_TESTS_PLAYGROUND_PLATFORM_H_
#define PITCHFALL_TESTS_PLAYGROUND_PLATFORM_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/cloud.h"
#include "fakes/state_service.h"
#include "fakes/worker.h"
#include "io/event.h"
#include "io/http_client.h"

namespace pitchfall::local_cluster {

struct Controller {
  std::string label;
  std::string front;
  std::string peer;
};

class LocalCluster {
 public:
  LocalCluster(event_base* base, std::vector<Controller> controllers,
               Duration task_run);
  ~LocalCluster();
  LocalCluster(const LocalCluster&) = delete;
  LocalCluster& operator=(const LocalCluster&) = delete;

  // The settings file for one of the controllers.
  std::string SettingsFor(size_t index) const;
  size_t machines() const { return machines_.size(); }

 private:
  struct SimulatedMachine;
  using Handler = fakes::HttpReply (LocalCluster::*)(std::string_view,
                                                     const std::string&,
                                                     const std::string&);

  uint16_t Serve(io::EvhttpHandle& server, Handler handler);
  static void OnRequest(evhttp_request* request, void* arg);
  static void OnStep(evutil_socket_t, short, void* arg);
  fakes::HttpReply State(std::string_view method, const std::string& target,
                         const std::string& body);
  fakes::HttpReply Cloud(std::string_view method, const std::string& target,
                         const std::string& body);
  void Boot(const fakes::Cloud::Machine& machine);
  void Step();
  void Heartbeat(SimulatedMachine& simulated);
  SteadyTime Now() const;

  struct Route {
    LocalCluster* platform;
    Handler handler;
  };

  event_base* base_;
  std::vector<Controller> controllers_;
  Duration task_run_;
  fakes::StateService state_;
  fakes::Cloud cloud_;
  std::vector<std::unique_ptr<Route>> routes_;
  io::EvhttpHandle state_server_;
  io::EvhttpHandle cloud_server_;
  uint16_t state_port_ = 0;
  uint16_t cloud_port_ = 0;
  std::vector<std::pair<SteadyTime, fakes::Cloud::Machine>> booting_;
  std::map<std::string, std::unique_ptr<SimulatedMachine>> machines_;
  std::vector<std::unique_ptr<SimulatedMachine>> gone_;
  io::Event step_;
};

// A port on loopback that nobody listens on at the moment.
uint16_t FreePort();

}  // namespace pitchfall::local_cluster

#endif  // PITCHFALL_TESTS_PLAYGROUND_PLATFORM_H_
