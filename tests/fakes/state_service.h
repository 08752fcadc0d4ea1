// A fake of the platform's state service, written from its protocol. Time
// is whatever the caller says.
#ifndef PITCHFALL_TESTS_FAKES_STATE_SERVICE_H_
#define PITCHFALL_TESTS_FAKES_STATE_SERVICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace pitchfall::fakes {

struct HttpReply {
  int status = 200;
  std::string body;
};

class StateService {
 public:
  struct Limits {
    size_t txn_ops = 8;
    double value_kb = 8;
    size_t log_length = 10000;
  };
  struct Entry {
    std::string value;  // packed
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
  };

  explicit StateService(Limits limits) : limits_(limits) {}

  HttpReply Handle(std::string_view method, const std::string& target,
                   const std::string& body, SteadyTime now);
  // After an outage every lease has its full time again.
  void RenewAll(SteadyTime now);
  void Expire(SteadyTime now);
  // Of later writes; what is stored stays.
  void set_limits(Limits limits) { limits_ = limits; }

  const std::map<std::string, Entry>& entries() const { return entries_; }
  uint64_t revision() const { return revision_; }
  // Of all that were sent, refused or not, counted as JSON.
  size_t largest_transaction() const { return largest_transaction_; }
  // A fault for tests of the tests: conditions hold no matter what.
  bool ignore_conditions = false;

 private:
  struct Lease {
    Duration ttl{0};
    SteadyTime ends{};
  };
  struct Logged {
    std::string key;
    bool put = false;
    std::string value;
    uint64_t mod_revision = 0;
  };

  HttpReply Transact(const std::string& body, SteadyTime now);
  HttpReply List(const std::map<std::string, std::string>& query);
  HttpReply Watch(const std::map<std::string, std::string>& query);
  void Drop(const std::string& key);

  Limits limits_;
  size_t largest_transaction_ = 0;
  uint64_t revision_ = 0;
  uint64_t last_lease_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Logged> log_;
};

// "?a=b&c=d" after the path.
std::map<std::string, std::string> ParseQuery(const std::string& target);
HttpReply Error(int status, std::string_view what);

}  // namespace pitchfall::fakes

#endif  // PITCHFALL_TESTS_FAKES_STATE_SERVICE_H_
