package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class PlatformQuickstartTest {

  @Test
  void everyAnswerIsWholeAndNothingRunsTwice() throws Exception {
    ByteArrayOutputStream report = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(report, true, StandardCharsets.UTF_8);
    assertThat(new PlatformQuickstart(out).play(64))
        .as(report.toString(StandardCharsets.UTF_8))
        .isTrue();
    assertThat(report.toString(StandardCharsets.UTF_8))
        .contains("all   64 asked,   64 served")
        .contains("path    " + EmulatedPlatform.STREAM)
        .contains("engine d-1");
  }
}
