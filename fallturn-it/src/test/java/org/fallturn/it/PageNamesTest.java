package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against pages that name classes or members which no longer exist. The compiler follows a
 * rename through the sources but not through the pages, so a page keeps the old name unnoticed.
 */
class PageNamesTest {

  private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
  private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");
  private static final Pattern NAME =
      Pattern.compile(
          "(?<![\\w$-])([A-Z][a-z0-9]+((?:[A-Z][a-z0-9]*)*))(?:[.#]([A-Za-z]\\w*))?(?![\\w$-])");
  private static final Pattern DECLARATION =
      Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");

  /** Names of the platform and of other libraries that pages mention. */
  private static final Set<String> FOREIGN =
      Set.of(
          "AccessibleObject",
          "Arrays",
          "ByteArrayOutputStream",
          "ConcurrentPool",
          "ExecutionSample", // event of the flight recorder, as `jdk.ExecutionSample`
          "MethodHandle", // in the system property java.lang.invoke.MethodHandle...
          "MimeTypes",
          "ObjectMapper",
          "ObjectReader",
          "OutOfMemoryError",
          "TypeFactory",
          // flags of the virtual machine
          "C1MaxInlineSize",
          "CompileThresholdScaling",
          "ErrorFileToStderr",
          "StartFlightRecording",
          "TieredStopAtLevel");

  @Test
  void everyNamedTypeAndMemberExists() throws IOException {
    Map<String, List<String>> sources = sourcesByType();
    Set<String> stale = new TreeSet<>();
    int checked = 0;
    for (Path page : pages()) {
      for (MatchResult name : names(Files.readString(page))) {
        checked++;
        if (!exists(sources.getOrDefault(name.group(1), List.of()), name.group(3))) {
          stale.add(ROOT.relativize(page) + ": " + name.group());
        }
      }
    }
    assertThat(checked).isGreaterThan(50);
    assertThat(stale).isEmpty();
  }

  /** The names of types, with or without a member; a single capitalised word needs a member. */
  private static List<MatchResult> names(String page) {
    return CODE.matcher(page)
        .results()
        .flatMap(code -> NAME.matcher(code.group(1)).results())
        .filter(name -> !name.group(2).isEmpty() || name.group(3) != null)
        .filter(name -> !FOREIGN.contains(name.group(1)))
        .toList();
  }

  private static boolean exists(List<String> declaringFiles, String member) {
    if (member == null) {
      return !declaringFiles.isEmpty();
    }
    Pattern identifier = Pattern.compile("\\b" + member + "\\b");
    return declaringFiles.stream().anyMatch(source -> identifier.matcher(source).find());
  }

  /** Maps each declared type to the text of the files that declare it, without comments. */
  private static Map<String, List<String>> sourcesByType() throws IOException {
    Map<String, List<String>> sources = new HashMap<>();
    for (Path file : javaFiles()) {
      String source = Files.readString(file).replaceAll("(?s:/\\*.*?\\*/)|(?m:^\\s*//.*$)", "");
      Matcher declaration = DECLARATION.matcher(source);
      while (declaration.find()) {
        sources.computeIfAbsent(declaration.group(1), type -> new ArrayList<>()).add(source);
      }
    }
    return sources;
  }

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>(files(ROOT.resolve("docs"), ".md"));
    pages.add(ROOT.resolve("README.md"));
    pages.add(ROOT.resolve("CONTRIBUTING.md"));
    return pages;
  }

  private static List<Path> javaFiles() throws IOException {
    List<Path> files = new ArrayList<>();
    try (Stream<Path> modules = Files.list(ROOT)) {
      for (Path sources : modules.map(module -> module.resolve("src")).toList()) {
        if (Files.isDirectory(sources)) {
          files.addAll(files(sources, ".java"));
        }
      }
    }
    return files;
  }

  private static List<Path> files(Path directory, String suffix) throws IOException {
    try (Stream<Path> files = Files.walk(directory)) {
      return files.filter(path -> path.toString().endsWith(suffix)).toList();
    }
  }
}
