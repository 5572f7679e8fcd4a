// Tests the queue between the two connections of a streamed body.
#include "net/pipe.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace merlinrun::net {
namespace {

TEST(PipeTest, NotifiesBothEnds) {
  Pipe pipe(4);
  int data = 0;
  int space = 0;
  pipe.SetReader([&] { ++data; });
  pipe.SetWriter([&] { ++space; }, nullptr);
  pipe.Write("abcdef");  // one write may exceed the capacity
  EXPECT_TRUE(pipe.full());
  EXPECT_EQ(data, 1);
  pipe.Consume(1);
  EXPECT_EQ(space, 0) << "it is still full";
  pipe.Consume(2);
  EXPECT_EQ(space, 1);
  pipe.End();
  EXPECT_EQ(data, 2);
  EXPECT_EQ(pipe.data(), "def");
  EXPECT_EQ(pipe.state(), Pipe::State::kEnded);
}

TEST(PipeTest, IsConsumedAfterTheFirstByte) {
  Pipe pipe(4);
  pipe.Write("abc");
  EXPECT_FALSE(pipe.consumed());
  pipe.Consume(0);
  EXPECT_FALSE(pipe.consumed());
  pipe.Consume(1);
  EXPECT_TRUE(pipe.consumed());
}

TEST(PipeTest, StopReadingNotifiesOnceAndDiscardsTheData) {
  Pipe pipe(4);
  int reader_gone = 0;
  pipe.SetReader([] { FAIL() << "notified after StopReading"; });
  pipe.SetWriter(nullptr, [&] { ++reader_gone; });
  pipe.StopReading();
  pipe.StopReading();
  EXPECT_EQ(reader_gone, 1);
  pipe.Write("abc");
  EXPECT_EQ(pipe.data(), "");
}

TEST(PipeTest, AbortIsNotTheEnd) {
  Pipe pipe(4);
  pipe.Write("abc");
  pipe.Abort();
  pipe.End();
  pipe.Write("d");
  EXPECT_EQ(pipe.state(), Pipe::State::kAborted);
  EXPECT_EQ(pipe.data(), "abc");
}

// Any sequence of writes and reads preserves the bytes and their order, holds at most the capacity and one
// write, and notifies the reader of each write.
RC_GTEST_PROP(PipeProperty, PassesBytesInOrderWithinItsCapacity,
              (const std::vector<std::uint8_t>& steps, std::uint8_t size)) {
  const std::size_t capacity = size % 32 + 1;
  Pipe pipe(capacity);
  std::string in;
  std::string out;
  std::size_t longest = 0;
  bool notified = false;
  bool space = true;
  pipe.SetReader([&] { notified = true; });
  pipe.SetWriter([&] { space = true; }, nullptr);
  for (const std::uint8_t step : steps) {
    if (step % 2 == 0) {
      if (pipe.full()) continue;
      RC_ASSERT(space);
      std::string bytes(step / 8 + 1U, ' ');
      for (char& c : bytes) c = static_cast<char>('a' + in.size() % 26), in += c;
      longest = std::max(longest, bytes.size());
      notified = false;
      pipe.Write(bytes);
      RC_ASSERT(notified);
      space = !pipe.full();
    } else {
      const std::size_t n = std::min<std::size_t>(step / 8, pipe.data().size());
      out += pipe.data().substr(0, n);
      pipe.Consume(n);
      RC_ASSERT(space == !pipe.full());
    }
    RC_ASSERT(pipe.data().size() <= capacity + longest);
  }
  pipe.End();
  out += pipe.data();
  RC_ASSERT(out == in);
}

}  // namespace
}  // namespace merlinrun::net
