// Helpers over msgpack-cxx: writing maps, and reading untrusted values, whose
// types and sizes are all checked.
#ifndef PITCHFALL_WIRE_PACK_H_
#define PITCHFALL_WIRE_PACK_H_

#include <cmath>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pitchfall::wire {

// Writes MessagePack, piece by piece. The caller must write as many items or
// pairs as it has announced with List or Map; this is not checked.
class Packer {
 public:
  Packer() : packer_(buffer_) {}

  Packer& Map(size_t n) {
    packer_.pack_map(static_cast<uint32_t>(n));
    return *this;
  }
  Packer& List(size_t n) {
    packer_.pack_array(static_cast<uint32_t>(n));
    return *this;
  }
  template <typename T>
  Packer& Value(const T& value) {
    packer_.pack(value);
    return *this;
  }
  Packer& Null() {
    packer_.pack_nil();
    return *this;
  }
  template <typename T>
  Packer& Pair(std::string_view key, const T& value) {
    packer_.pack(key);
    packer_.pack(value);
    return *this;
  }
  Packer& Key(std::string_view key) {
    packer_.pack(key);
    return *this;
  }
  // Appends bytes that are MessagePack already.
  Packer& Raw(std::string_view packed) {
    buffer_.write(packed.data(), packed.size());
    return *this;
  }
  // Returns a copy of all that has been written.
  std::string Take() const { return {buffer_.data(), buffer_.size()}; }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

// A message is invalid. The text names the field at fault, if it is one field.
class Malformed : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads a map field by field. Unknown fields are ignored; null counts as
// absent. All readers throw Malformed if the field has another type or is out
// of range, and those without a fallback also if it is absent. The object must
// outlive the reader.
class Fields {
 public:
  explicit Fields(const msgpack::object& object) : object_(object) {
    if (object.type != msgpack::type::MAP) throw Malformed("not a map");
  }

  // Returns the value of the field, or nullptr if it is absent or null.
  const msgpack::object* Find(std::string_view key) const {
    const auto& map = object_.via.map;
    for (uint32_t i = 0; i < map.size; ++i) {
      const msgpack::object& k = map.ptr[i].key;
      if (k.type == msgpack::type::STR &&
          std::string_view(k.via.str.ptr, k.via.str.size) == key) {
        const msgpack::object& v = map.ptr[i].val;
        return v.type == msgpack::type::NIL ? nullptr : &v;
      }
    }
    return nullptr;
  }
  const msgpack::object& Get(std::string_view key) const {
    const msgpack::object* found = Find(key);
    if (found == nullptr) Fail(key, "is missing");
    return *found;
  }

  std::string Text(std::string_view key) const { return AsText(Get(key), key); }
  std::string TextOr(std::string_view key, std::string fallback) const {
    const msgpack::object* found = Find(key);
    return found == nullptr ? std::move(fallback) : AsText(*found, key);
  }
  bool Flag(std::string_view key) const { return AsFlag(Get(key), key); }
  bool FlagOr(std::string_view key, bool fallback) const {
    return Find(key) == nullptr ? fallback : Flag(key);
  }
  uint64_t Count(std::string_view key, uint64_t max = UINT64_MAX) const {
    return AsCount(Get(key), key, max);
  }
  uint64_t CountOr(std::string_view key, uint64_t fallback) const {
    const msgpack::object* found = Find(key);
    return found == nullptr ? fallback : AsCount(*found, key, UINT64_MAX);
  }
  // Reads a finite number from 0 to `max`, integer or not.
  double Amount(std::string_view key, double max) const {
    return AsAmount(Get(key), key, max);
  }
  double AmountOr(std::string_view key, double max, double fallback) const {
    const msgpack::object* found = Find(key);
    return found == nullptr ? fallback : AsAmount(*found, key, max);
  }
  const msgpack::object_array& List(std::string_view key) const {
    const msgpack::object& value = Get(key);
    if (value.type != msgpack::type::ARRAY) Fail(key, "is not a list");
    return value.via.array;
  }

  // Convert a value that is not a field itself, such as an item of a list.
  // `key` is only used in the text of the error.
  static std::string AsText(const msgpack::object& value,
                            std::string_view key) {
    if (value.type != msgpack::type::STR) Fail(key, "is not a string");
    return {value.via.str.ptr, value.via.str.size};
  }
  static bool AsFlag(const msgpack::object& value, std::string_view key) {
    if (value.type != msgpack::type::BOOLEAN) Fail(key, "is not a boolean");
    return value.via.boolean;
  }
  static uint64_t AsCount(const msgpack::object& value, std::string_view key,
                          uint64_t max) {
    if (value.type != msgpack::type::POSITIVE_INTEGER) {
      Fail(key, "is not a non-negative integer");
    }
    if (value.via.u64 > max) Fail(key, "is too large");
    return value.via.u64;
  }
  static double AsAmount(const msgpack::object& value, std::string_view key,
                         double max) {
    double number = 0;
    switch (value.type) {
      case msgpack::type::POSITIVE_INTEGER:
        number = static_cast<double>(value.via.u64);
        break;
      case msgpack::type::FLOAT32:
      case msgpack::type::FLOAT64:
        number = value.via.f64;
        break;
      default:
        Fail(key, "is not a non-negative number");
    }
    if (!std::isfinite(number) || number < 0 || number > max) {
      Fail(key, "is out of range");
    }
    return number;
  }
  [[noreturn]] static void Fail(std::string_view key, std::string_view what) {
    throw Malformed(std::string(key) + " " + std::string(what));
  }

 private:
  const msgpack::object& object_;
};

// A whole MessagePack message, decoded. The constructor throws Malformed if the
// body is not exactly one value, or if a list or map has more than `max_items`
// items or the nesting is deeper than `max_depth`: lengths announced in the
// message must not decide how much memory is allocated.
class Message {
 public:
  Message(std::string_view body, size_t max_items, size_t max_depth) {
    try {
      size_t used = 0;
      handle_ =
          msgpack::unpack(body.data(), body.size(), used, nullptr, nullptr,
                          msgpack::unpack_limit(max_items, max_items,
                                                body.size(), 0, 0, max_depth));
      if (used != body.size())
        throw Malformed("data after the end of the message");
    } catch (const Malformed&) {
      throw;
    } catch (const std::exception&) {
      throw Malformed(
          "not valid MessagePack, or too many or too deeply nested items");
    }
  }
  const msgpack::object& root() const { return handle_.get(); }

 private:
  msgpack::object_handle handle_;
};

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_PACK_H_
