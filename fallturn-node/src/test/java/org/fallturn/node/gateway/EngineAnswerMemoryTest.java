package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/** Guards against memory of answers that one engine takes all of, or that is never given back. */
class EngineAnswerMemoryTest {

  private static final int BOUND_BYTES = 1 << 20;
  private static final int QUARTER = BOUND_BYTES / 4;
  private static final NetworkAddress FAULTY = new NetworkAddress("127.0.0.1", 1);
  private static final NetworkAddress SOUND = new NetworkAddress("127.0.0.1", 2);
  private static final NetworkAddress OTHER = new NetworkAddress("127.0.0.1", 3);

  private final EngineAnswerMemory memory = new EngineAnswerMemory(BOUND_BYTES);

  private int takeAll(NetworkAddress engine) {
    int shares = 0;
    while (memory.open(engine).tryGrowBody(QUARTER)) {
      shares++;
    }
    return shares;
  }

  @Test
  void oneEngineLeavesRoomToOthersAndAllKeepTheBound() {
    int ofFaulty = takeAll(FAULTY);
    int ofSound = takeAll(SOUND);
    assertThat(ofFaulty).isPositive();
    assertThat(ofSound).isPositive();
    takeAll(OTHER);
    assertThat(memory.reserved()).isLessThanOrEqualTo(BOUND_BYTES);
  }

  @Test
  void fieldsOfAHeadCountAsObjects() {
    EngineAnswerMemory.Share share = memory.open(FAULTY);
    int fields = 0;
    while (share.tryAddField("a", "")) {
      fields++;
    }
    assertThat(fields).isLessThan(BOUND_BYTES / 64);
  }

  @Test
  void smallAnswerNeedsNoRoom() {
    takeAll(FAULTY);
    EngineAnswerMemory.Share share = memory.open(FAULTY);
    assertThat(share.tryAddField("Content-Length", "2")).isTrue();
    assertThat(share.tryGrowBody(2)).isTrue();
  }

  @Test
  void roomIsGivenBackOnceAndNotTakenAfterwards() {
    EngineAnswerMemory.Share share = memory.open(FAULTY);
    assertThat(share.tryGrowBody(QUARTER)).isTrue();
    assertThat(memory.reserved()).isPositive();
    share.release();
    share.release();
    assertThat(memory.reserved()).isZero();
    assertThat(share.tryGrowBody(2 * QUARTER)).isFalse();
    assertThat(memory.reserved()).isZero();
  }
}
