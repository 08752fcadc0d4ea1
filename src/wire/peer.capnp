@0xc4a1f6d2b8e35790;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pitchfall::wire::schema");

# What controllers tell each other, twice a second. Nothing in it is needed for
# the rules; it only makes decisions better informed.
struct Hello {
  label @0 :Text;
  life @1 :Text;
  sentMicros @2 :Int64;
  stateAgeMicros @3 :Int64;
  strays @4 :List(UInt32);
  free @5 :List(Room);
  requests @6 :Float64;
  writes @7 :Float64;
}

# Processors of a part that are free for tasks of 1, 2, 4 ... processors.
struct Room {
  part @0 :UInt32;
  any @1 :List(Int64);
  ordinary @2 :List(Int64);
}
