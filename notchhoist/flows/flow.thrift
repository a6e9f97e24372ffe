/** Control messages of opaque flows. Field numbers are permanent. */

struct LoadAsk { 1: i32 slots }
struct LoadTell { 1: i32 flows, 2: i32 running, 3: i32 pace_ms, 4: bool stopping }

struct FlowMessage {
  1: i32 version,
  10: optional LoadAsk load_ask, 11: optional LoadTell load_tell
}
