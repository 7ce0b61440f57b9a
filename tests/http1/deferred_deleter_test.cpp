#include "http1/deferred_deleter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {
namespace {

struct Counted {
  explicit Counted(int& destroyed) : destroyed_(destroyed) {}
  ~Counted() { ++destroyed_; }
  int& destroyed_;
};

gboolean stay_ready(gpointer) { return G_SOURCE_CONTINUE; }

}  // namespace

class DeferredDeleterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeferredDeleterTest);
  CPPUNIT_TEST(destroys_objects_while_sockets_are_always_ready);
  CPPUNIT_TEST_SUITE_END();

 public:
  void destroys_objects_while_sockets_are_always_ready() {
    const guint busy = g_idle_add_full(G_PRIORITY_DEFAULT, stay_ready, nullptr, nullptr);
    int destroyed = 0;
    DeferredDeleter deleter;
    deleter.defer(std::make_unique<Counted>(destroyed));
    CPPUNIT_ASSERT_EQUAL(0, destroyed);
    for (int iteration = 0; iteration < 3; ++iteration) g_main_context_iteration(nullptr, FALSE);
    g_source_remove(busy);
    CPPUNIT_ASSERT_EQUAL(1, destroyed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeferredDeleterTest);

}  // namespace pumicemast
