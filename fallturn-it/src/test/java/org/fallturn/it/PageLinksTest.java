package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Every link between the project's own pages and files leads somewhere. */
class PageLinksTest {

  private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#:]+)(#[^)]*)?\\)");

  @Test
  void everyLinkedFileExists() throws IOException {
    List<String> broken = new ArrayList<>();
    int links = 0;
    for (Path page : pages()) {
      Matcher matcher = LINK.matcher(Files.readString(page));
      while (matcher.find()) {
        links++;
        if (!Files.exists(page.getParent().resolve(matcher.group(1)))) {
          broken.add(ROOT.relativize(page) + " -> " + matcher.group(1));
        }
      }
    }
    assertThat(links).isGreaterThan(20);
    assertThat(broken).isEmpty();
  }

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>(List.of(ROOT.resolve("README.md")));
    pages.add(ROOT.resolve("CONTRIBUTING.md"));
    try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
      docs.filter(path -> path.toString().endsWith(".md")).forEach(pages::add);
    }
    return pages;
  }
}
