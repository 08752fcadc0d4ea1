// A fake of the platform's cloud API, written from its protocol.
#ifndef PITCHFALL_TESTS_FAKES_CLOUD_H_
#define PITCHFALL_TESTS_FAKES_CLOUD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "fakes/state_service.h"

namespace pitchfall::fakes {

// Rents machines up to a capacity, deletes them, and lists them with a delay.
// Time is what the caller passes.
class Cloud {
 public:
  // An instance type; prices are per hour.
  struct Type {
    std::string name = "c8";
    double cpus = 8;
    double memory_gb = 32;
    double price = 0.4;
    double spot_price = 0.15;
    double boot_s = 5;
    std::vector<std::string> zones = {"a", "b"};
  };
  // A rented machine. `address` stays empty in this fake.
  struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::string status = "starting";  // or "running", "failed"
    SteadyTime created{};
  };
  struct Config {
    std::vector<Type> types = {Type{}};
    // The most machines of each type and zone, spot and on-demand machines
    // counted apart.
    size_t capacity = 10;
    // The list describes the machines as they were so long ago.
    Duration list_lag{Millis(2000)};
  };
  // `on_create` is called for each machine that is rented, `on_delete` for each
  // that a delete request has removed. Either may be empty.
  std::function<void(const Machine&)> on_create;
  std::function<void(const std::string&)> on_delete;

  explicit Cloud(Config config) : config_(std::move(config)) {}

  // Answers a request of the cloud's HTTP interface; `target` is the path with
  // its query.
  HttpReply Handle(std::string_view method, const std::string& target,
                   const std::string& body, SteadyTime now);
  // SetStatus and Remove change a machine without a request, as the provider
  // itself would. Unknown names are ignored.
  void SetStatus(const std::string& name, const std::string& status,
                 SteadyTime now);
  void Remove(const std::string& name, SteadyTime now);
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const Config& config() const { return config_; }
  // While true, every request is answered with status 503.
  bool outage = false;

 private:
  // Adds the present machines to the history that the list is read from.
  void RecordSnapshot(SteadyTime now);
  HttpReply CreateInstances(const std::string& body, SteadyTime now);
  HttpReply Delete(const std::string& body, SteadyTime now);
  HttpReply List(const std::string& target, SteadyTime now);

  Config config_;
  uint64_t last_machine_ = 0;
  std::map<std::string, Machine> machines_;
  // The machines created for each request by its name, so that a repeated
  // request creates no more.
  std::map<std::string, std::vector<std::string>> created_by_request_;
  std::deque<std::pair<SteadyTime, std::map<std::string, Machine>>> history_;
};

}  // namespace pitchfall::fakes

#endif  // PITCHFALL_TESTS_FAKES_CLOUD_H_
