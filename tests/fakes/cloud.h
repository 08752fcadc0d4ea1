// A fake of the platform's cloud, written from its protocol.
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

class Cloud {
 public:
  struct Type {
    std::string name = "c8";
    double cpus = 8;
    double memory_gb = 32;
    double price = 0.4;
    double spot_price = 0.15;
    double boot_s = 5;
    std::vector<std::string> zones = {"a", "b"};
  };
  struct Machine {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::string status = "starting";
    SteadyTime created{};
  };
  struct Config {
    std::vector<Type> types = {Type{}};
    size_t capacity = 10;  // of each type, zone and kind
    Duration list_lag{Millis(2000)};
  };
  // Called when a machine is rented, and when it is gone by deletion.
  std::function<void(const Machine&)> on_create;
  std::function<void(const std::string&)> on_delete;

  explicit Cloud(Config config) : config_(std::move(config)) {}

  HttpReply Handle(std::string_view method, const std::string& target,
                   const std::string& body, SteadyTime now);
  // Machines change outside of the interface.
  void SetStatus(const std::string& name, const std::string& status,
                 SteadyTime now);
  void Remove(const std::string& name, SteadyTime now);
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const Config& config() const { return config_; }
  bool outage = false;

 private:
  void RecordOutcomes(SteadyTime now);
  HttpReply CreateInstances(const std::string& body, SteadyTime now);
  HttpReply Delete(const std::string& body, SteadyTime now);
  HttpReply List(const std::string& target, SteadyTime now);

  Config config_;
  uint64_t last_machine_ = 0;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::vector<std::string>> answered_;  // by request
  std::deque<std::pair<SteadyTime, std::map<std::string, Machine>>> history_;
};

}  // namespace pitchfall::fakes

#endif  // PITCHFALL_TESTS_FAKES_CLOUD_H_
