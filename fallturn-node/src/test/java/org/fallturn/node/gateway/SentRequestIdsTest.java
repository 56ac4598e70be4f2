package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against an id that counts as new on a connection that has carried it: its refusal, sent
 * once more, would be taken for the answer. The record is bounded, and grows while it is used.
 */
class SentRequestIdsTest {

  private static final long SEED = 111;

  private final SentRequestIds sent = new SentRequestIds();

  private static List<String> ids(int count) {
    Random random = new Random(SEED);
    return IntStream.range(0, count)
        .mapToObj(number -> Long.toHexString(random.nextLong()))
        .toList();
  }

  @Test
  void idThatWasSentIsNeverNewAgain() {
    List<String> ids = ids(SentRequestIds.MAX_IDS - 1);
    assertThat(ids).allMatch(sent::tryAdd);
    assertThat(ids).noneMatch(sent::tryAdd);
    assertThat(sent.isFull()).isFalse();
  }

  @Test
  void takesNoFurtherIdOnceFull() {
    ids(SentRequestIds.MAX_IDS).forEach(sent::tryAdd);
    assertThat(sent.isFull()).isTrue();
    assertThat(sent.tryAdd("further")).isFalse();
  }

  @Test
  void idsWhoseHashIsThatOfTheEmptyTextAreTold() {
    String hashOfZero = "\0";
    assertThat(hashOfZero.hashCode()).isZero();
    assertThat(sent.tryAdd(hashOfZero)).isTrue();
    assertThat(sent.tryAdd(hashOfZero)).isFalse();
  }
}
