package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The page of log lines names every event. */
class LogPageTest {

  @Test
  void everyEventStandsOnThePage() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "operations", "logs.md"));
    assertThat(Arrays.stream(LogEvent.values()).map(Enum::name))
        .allSatisfy(event -> assertThat(page).containsPattern("\\b" + event + "\\b"));
  }
}
