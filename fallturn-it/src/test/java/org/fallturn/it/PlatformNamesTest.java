package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Names, formats and calls of the users' platform stand in {@code platform/} alone; {@code
 * deploy/}, the emulator and tests may know them too.
 */
class PlatformNamesTest {

  /** Headers, calls, and fields that are not plain words or names of the product's own. */
  private static final Pattern PLATFORM_NAME =
      Pattern.compile(
          "X-Fallturn-|\"/-/|Kv-Fetch|FALLTURN_SETTINGS|trafficSplit|targetLatencyMs|gapTargetMs"
              + "|kvCapacityTokens|kvTokenBytes|linkMbps|handleTtlS|stageSwitchS"
              + "|coldRemainingMs|healthPath|\"servers\"|\"resumable\"|rows-(get|feed|tx|parts)"
              + "|desiredCount|windowId|spotPrice|zonePrices|allowAnonymous|leaves_ms",
          Pattern.CASE_INSENSITIVE);

  private static final List<String> SOURCES =
      List.of(
          "fallturn-core/src/main/java",
          "fallturn-node/src/main/java",
          "fallturn-rehearsal/src/main/java");

  private static final String EMULATOR = "/rehearsal/emulator/";

  @Test
  void noPlatformNameStandsOutsideItsFolder() throws IOException {
    List<String> leaks = new ArrayList<>();
    for (String source : SOURCES) {
      try (Stream<Path> files = Files.walk(root().resolve(source))) {
        for (Path file : files.filter(Files::isRegularFile).toList()) {
          if (!file.toString().contains(EMULATOR)) {
            addLeaks(file, leaks);
          }
        }
      }
    }
    assertThat(leaks).isEmpty();
  }

  @Test
  void theSearchFindsTheNamesWhereTheyBelong() throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(root().resolve("platform/src/main/java"))) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        addLeaks(file, found);
      }
    }
    assertThat(found).hasSizeGreaterThan(20);
  }

  private static void addLeaks(Path file, List<String> leaks) throws IOException {
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      if (PLATFORM_NAME.matcher(line).find()) {
        leaks.add(root().relativize(file) + ":" + number + " " + line.strip());
      }
    }
  }

  private static Path root() {
    Path here = Path.of("").toAbsolutePath();
    return Files.exists(here.resolve("platform")) ? here : here.getParent();
  }
}
