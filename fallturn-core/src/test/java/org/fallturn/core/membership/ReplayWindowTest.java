package org.fallturn.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ReplayWindowTest {

  @Property(seed = "20261203")
  void noNumberIsTakenTwice(@ForAll List<@IntRange(min = 1, max = 200) Integer> sequences) {
    ReplayWindow window = new ReplayWindow();
    Set<Integer> taken = new HashSet<>();
    for (int sequence : sequences) {
      if (window.accept(1, sequence)) {
        assertThat(taken.add(sequence)).isTrue();
      }
    }
  }

  @Test
  void reorderedWithinTheWindowIsTakenOnce() {
    ReplayWindow window = new ReplayWindow();
    assertThat(window.accept(1, 10)).isTrue();
    assertThat(window.accept(1, 8)).isTrue();
    assertThat(window.accept(1, 8)).isFalse();
    assertThat(window.accept(1, 9)).isTrue();
  }

  @Test
  void olderSessionAndTooOldNumberAreRefused() {
    ReplayWindow window = new ReplayWindow();
    assertThat(window.accept(2, 500)).isTrue();
    assertThat(window.accept(1, 501)).isFalse();
    assertThat(window.accept(2, 500 - 64)).isFalse();
    assertThat(window.accept(3, 1)).isTrue();
  }
}
