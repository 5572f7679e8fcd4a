// The queue between two connections of a large body.
#include "net/pipe.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace merlinrun::net {
namespace {

TEST(PipeTest, TellsEachEndOfTheOther) {
  Pipe pipe(4);
  int data = 0;
  int room = 0;
  pipe.SetReader([&] { ++data; });
  pipe.SetWriter([&] { ++room; }, nullptr);
  pipe.Write("abcdef");  // one write may go over
  EXPECT_TRUE(pipe.full());
  EXPECT_EQ(data, 1);
  pipe.Consume(1);
  EXPECT_EQ(room, 0) << "it is full still";
  pipe.Consume(2);
  EXPECT_EQ(room, 1);
  pipe.End();
  EXPECT_EQ(data, 2);
  EXPECT_EQ(pipe.data(), "def");
  EXPECT_EQ(pipe.state(), Pipe::State::kEnded);
}

TEST(PipeTest, IsSpentOnceAnythingWasTaken) {
  Pipe pipe(4);
  pipe.Write("abc");
  EXPECT_FALSE(pipe.spent());
  pipe.Consume(0);
  EXPECT_FALSE(pipe.spent());
  pipe.Consume(1);
  EXPECT_TRUE(pipe.spent());
}

TEST(PipeTest, AReaderThatLeavesIsToldOnceAndNothingIsKept) {
  Pipe pipe(4);
  int left = 0;
  pipe.SetReader([] { FAIL() << "nobody reads"; });
  pipe.SetWriter(nullptr, [&] { ++left; });
  pipe.Leave();
  pipe.Leave();
  EXPECT_EQ(left, 1);
  pipe.Write("abc");
  EXPECT_EQ(pipe.data(), "");
}

TEST(PipeTest, ABreakIsNoEnd) {
  Pipe pipe(4);
  pipe.Write("abc");
  pipe.Break();
  pipe.End();
  pipe.Write("d");
  EXPECT_EQ(pipe.state(), Pipe::State::kBroken);
  EXPECT_EQ(pipe.data(), "abc");
}

// Whatever is written and taken in whatever pieces: the same bytes in the same order, never more held than
// the bound and one write, and the reader told whenever there is something.
RC_GTEST_PROP(PipeProperty, PassesTheBytesOnInOrderWithinItsBound,
              (const std::vector<std::uint8_t>& steps, std::uint8_t size)) {
  const std::size_t most = size % 32 + 1;
  Pipe pipe(most);
  std::string in;
  std::string out;
  std::size_t longest = 0;
  bool told = false;
  bool room = true;
  pipe.SetReader([&] { told = true; });
  pipe.SetWriter([&] { room = true; }, nullptr);
  for (const std::uint8_t step : steps) {
    if (step % 2 == 0) {
      if (pipe.full()) continue;
      RC_ASSERT(room);
      std::string bytes(step / 8 + 1U, ' ');
      for (char& c : bytes) c = static_cast<char>('a' + in.size() % 26), in += c;
      longest = std::max(longest, bytes.size());
      told = false;
      pipe.Write(bytes);
      RC_ASSERT(told);
      room = !pipe.full();
    } else {
      const std::size_t n = std::min<std::size_t>(step / 8, pipe.data().size());
      out += pipe.data().substr(0, n);
      pipe.Consume(n);
      RC_ASSERT(room == !pipe.full());
    }
    RC_ASSERT(pipe.data().size() <= most + longest);
  }
  pipe.End();
  out += pipe.data();
  RC_ASSERT(out == in);
}

}  // namespace
}  // namespace merlinrun::net
