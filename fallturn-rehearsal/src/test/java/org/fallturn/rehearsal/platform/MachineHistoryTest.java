package org.fallturn.rehearsal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MachineHistoryTest {

  @Test
  void changeIsSeenOneLagLater() {
    MachineHistory history = new MachineHistory(100, 0);
    history.change(list -> List.of(), 1000);
    history.change(list -> List.of(), 1050);
    assertThat(history.seenAt(1099).version()).isZero();
    assertThat(history.seenAt(1100).version()).isEqualTo(1);
    assertThat(history.seenAt(1150).version()).isEqualTo(2);
  }
}
