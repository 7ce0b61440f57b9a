#include "transport/frame_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace pumicemast {

class FrameCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameCodecTest);
  CPPUNIT_TEST(reassembles_frames_split_anywhere);
  CPPUNIT_TEST(reads_wide_scalars);
  CPPUNIT_TEST(refuses_oversize_frames_before_reading_them);
  CPPUNIT_TEST(rejects_or_reads_invalid_bytes_safely);
  CPPUNIT_TEST(refuses_a_frame_without_required_fields);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reassembles_frames_split_anywhere() {
    const bool held = rc::check("frames are reassembled however the stream is split", [] {
      const auto chunks = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
      std::vector<std::uint8_t> stream;
      for (const std::uint32_t chunk : chunks) {
        wire::ChunkRequestT message;
        message.digest = "d";
        message.chunk = chunk;
        const auto frame = encode_frame(message);
        stream.insert(stream.end(), frame.data(), frame.data() + frame.size());
      }
      FrameReader reader;
      std::vector<std::uint32_t> read;
      std::size_t position = 0;
      while (position < stream.size()) {
        const auto length =
            std::min<std::size_t>(*rc::gen::inRange<std::size_t>(1, 200), stream.size() - position);
        const FrameFault fault =
            reader.consume({stream.data() + position, length}, [&](const wire::Frame& frame) {
              read.push_back(frame.body_as_ChunkRequest()->chunk());
            });
        RC_ASSERT(fault == FrameFault::none);
        position += length;
      }
      RC_ASSERT(read == chunks);
    });
    CPPUNIT_ASSERT(held);
  }

  /// 64-bit fields need an alignment that the 32-bit length prefix shifts.
  void reads_wide_scalars() {
    wire::AgentHelloT hello;
    hello.machine = hello.region = hello.zone = hello.swarm_address = hello.backend = "text";
    hello.incarnation = UINT64_MAX - 1;
    hello.memory_bytes = 1ULL << 40U;
    const auto frame = encode_frame(hello);
    std::uint64_t incarnation = 0;
    std::uint64_t memory_bytes = 0;
    FrameReader reader;
    const FrameFault fault =
        reader.consume({frame.data(), frame.size()}, [&](const wire::Frame& read) {
          incarnation = read.body_as_AgentHello()->incarnation();
          memory_bytes = read.body_as_AgentHello()->memory_bytes();
        });
    CPPUNIT_ASSERT(FrameFault::none == fault);
    CPPUNIT_ASSERT_EQUAL(hello.incarnation, incarnation);
    CPPUNIT_ASSERT_EQUAL(hello.memory_bytes, memory_bytes);
  }

  void refuses_oversize_frames_before_reading_them() {
    const std::vector<std::uint8_t> prefix{0xff, 0xff, 0xff, 0x7f};
    FrameReader reader;
    CPPUNIT_ASSERT(FrameFault::oversize == reader.consume(prefix, [](const wire::Frame&) {}));
  }

  void rejects_or_reads_invalid_bytes_safely() {
    const bool held = rc::check("no bytes crash the reader", [] {
      const auto payload = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
      std::vector<std::uint8_t> bytes(4);
      flatbuffers::WriteScalar(bytes.data(), static_cast<std::uint32_t>(payload.size()));
      bytes.insert(bytes.end(), payload.begin(), payload.end());
      FrameReader reader;
      bool delivered = false;
      const FrameFault fault = reader.consume(bytes, [&](const wire::Frame&) { delivered = true; });
      RC_ASSERT(fault == FrameFault::malformed || delivered);
    });
    CPPUNIT_ASSERT(held);
    // A frame with any one bit flipped is either rejected or read without going out of bounds.
    wire::AgentHelloT hello;
    hello.machine = hello.region = hello.zone = hello.swarm_address = hello.backend = "text";
    const auto encoded = encode_frame(hello);
    const std::vector<std::uint8_t> good(encoded.data(), encoded.data() + encoded.size());
    for (std::size_t bit = 32; bit < good.size() * 8; ++bit) {
      auto changed = good;
      changed[bit / 8] = static_cast<std::uint8_t>(changed[bit / 8] ^ (1U << (bit % 8)));
      FrameReader reader;
      std::size_t read_bytes = 0;
      reader.consume(changed, [&](const wire::Frame& frame) {
        if (const auto* message = frame.body_as_AgentHello()) {
          read_bytes += message->machine()->size() + message->zone()->size();
        }
      });
      CPPUNIT_ASSERT(read_bytes <= good.size() * 2);
    }
  }

  void refuses_a_frame_without_required_fields() {
    flatbuffers::FlatBufferBuilder builder;
    wire::ChunkRequestBuilder request(builder);
    request.add_chunk(1);
    // Finish() would assert on the missing field, so the table is ended without that check.
    const auto table = flatbuffers::Offset<void>(builder.EndTable(builder.GetSize()));
    wire::FrameBuilder frame(builder);
    frame.add_body(table);
    frame.add_body_type(wire::Body::ChunkRequest);
    builder.FinishSizePrefixed(
        flatbuffers::Offset<wire::Frame>(builder.EndTable(builder.GetSize())));
    const std::vector<std::uint8_t> bytes(builder.GetBufferPointer(),
                                          builder.GetBufferPointer() + builder.GetSize());
    FrameReader reader;
    CPPUNIT_ASSERT(FrameFault::malformed == reader.consume(bytes, [](const wire::Frame&) {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameCodecTest);

}  // namespace pumicemast
