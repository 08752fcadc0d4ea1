// Reads a MessagePack map of which one field is a long list, one item of the
// list at a time, so that the memory taken does not depend on its length.
#ifndef PITCHFALL_WIRE_ROW_READER_H_
#define PITCHFALL_WIRE_ROW_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string_view>

#include "wire/pack.h"

namespace pitchfall::wire {

// The limits on what is decoded, as for Message.
struct RowLimits {
  size_t max_items = 0;  // of a list or map
  size_t max_depth = 0;
};

// Reads one message. All functions throw Malformed if it is not valid.
class RowReader {
 public:
  using RowHandler = std::function<void(const Fields& row)>;
  // Is called with the value of each other field.
  using FieldHandler =
      std::function<void(std::string_view key, const msgpack::object& value)>;

  // `body` must outlive the reader.
  RowReader(std::string_view body, RowLimits limits)
      : body_(body), limits_(limits) {}

  // Reads the whole message. Calls `on_row` for each item of the list in the
  // field `rows_key`, which must be there, and `on_field` for the other fields,
  // in the order of the message. The arguments are valid during the call only.
  void Read(std::string_view rows_key, const RowHandler& on_row,
            const FieldHandler& on_field);

 private:
  // The first bytes that announce the number of items of a list or map: a
  // single byte for few of them, or one that is followed by 16 or 32 bits.
  struct Header {
    uint8_t few;       // with the number in its lower four bits
    uint8_t number16;  // the byte before 16 bits
    uint8_t number32;
  };

  uint8_t ReadByte();
  uint32_t ReadBigEndian(size_t bytes);
  uint32_t ReadCount(const Header& header);
  // The object is valid until the next call.
  const msgpack::object& ReadValue();
  void ReadRows(const RowHandler& on_row);

  const std::string_view body_;
  const RowLimits limits_;
  size_t at_ = 0;
  msgpack::zone zone_;  // of the value read last
  msgpack::object value_;
};

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_ROW_READER_H_
