package org.fallturn.node.query;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.awaitility.Awaitility;
import org.fallturn.node.command.CommandLine;
import org.fallturn.node.configuration.InMemoryTable;
import org.fallturn.node.configuration.TestNode;
import org.fallturn.node.http.TestKeyStore;
import org.fallturn.node.http.TlsCertificate;
import org.fallturn.node.operators.OperatorsTestNode;
import org.jline.terminal.Terminal;
import org.jline.terminal.impl.DumbTerminal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class QueryCommandTest {

  private static final String TENANT =
      "INSERT INTO tenants (tenant, requests_per_second, tokens_per_second)"
          + " VALUES ('alava', 10, 1000)";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final Map<String, String> environment =
      Map.of(QueryCommand.KEY_VARIABLE, OperatorsTestNode.BOOTSTRAP_KEY);
  private OperatorsTestNode node;

  @BeforeEach
  void start() throws Exception {
    node = new OperatorsTestNode("lakua-1", "lakua", TestNode.fleet(), new InMemoryTable());
    Awaitility.await().until(() -> node.node().module().isLoaded());
  }

  @AfterEach
  void stop() throws Exception {
    node.close();
  }

  @Test
  void changeFromCommandLineThenTable() {
    assertThat(run("", TENANT)).isZero();
    assertThat(text(out)).contains("accepted version 1").contains("in force on 1 of 1 nodes");

    out.reset();
    assertThat(run("", "SELECT tenant, max_queued FROM tenants")).isZero();
    assertThat(text(out)).isEqualTo("tenant  max_queued\nalava   100\n1 rows\n");
  }

  @Test
  void fileAndStandardInputAndOtherFormats(@TempDir Path directory) throws Exception {
    Path file = Files.writeString(directory.resolve("tenant.sql"), TENANT + ";\n");
    assertThat(run("", "--file", file.toString())).isZero();
    out.reset();

    assertThat(run("SELECT tenant, share_weight FROM tenants", "-", "--format", "csv")).isZero();
    assertThat(text(out)).isEqualTo("tenant,share_weight\nalava,1.0\n");
    assertThat(text(errors)).isEqualTo("1 rows\n");

    out.reset();
    assertThat(run("", "SELECT tenant FROM tenants", "--format", "json")).isZero();
    assertThat(text(out)).startsWith("{\"kind\":\"ROWS\"").contains("\"rows\":[[\"alava\"]]");
  }

  @Test
  void exitCodesTellRefusalUsageAndNoAnswer() throws Exception {
    assertThat(run("", "SELECT * FROM motors")).isEqualTo(1);
    assertThat(text(errors)).contains("INVALID_REQUEST: no table motors");
    assertThat(run("", "--expected-version", "7", TENANT)).isEqualTo(1);
    assertThat(run("", TENANT, "--file", "also")).isEqualTo(2);
    assertThat(run("", "--file", "/does/not/exist")).isEqualTo(2);

    node.close();
    assertThat(run("", TENANT)).isEqualTo(1);
    assertThat(text(errors)).contains("nothing listens at");
  }

  @Test
  void encryptedPortIsTrustedByItsCertificateOnly(@TempDir Path directory) throws Exception {
    Path keyStore = TestKeyStore.create(directory, "lakua-1");
    Path password = Files.writeString(directory.resolve("password"), TestKeyStore.PASSWORD);
    Path authority = TestKeyStore.exportCertificate(keyStore, directory);
    try (OperatorsTestNode encrypted =
        new OperatorsTestNode(
            "lakua-2",
            "lakua",
            TestNode.fleet(),
            new InMemoryTable(),
            Optional.of(new TlsCertificate(keyStore, password)))) {
      Awaitility.await().until(() -> encrypted.node().module().isLoaded());
      String address = "https://" + encrypted.address();

      assertThat(run("", "SELECT * FROM tenants", "--address", address)).isEqualTo(3);
      assertThat(
              run(
                  "",
                  "SELECT * FROM tenants",
                  "--address",
                  address,
                  "--ca-file",
                  authority.toString()))
          .as(text(errors))
          .isZero();
    }
  }

  @Test
  void keyIsNeeded() {
    QueryCommand command =
        new QueryCommand(
            new ByteArrayInputStream(new byte[0]), stream(out), stream(errors), Map.of());

    assertThat(new CommandLine("fallturn", "", List.of(command)).run("query", "SELECT 1"))
        .isEqualTo(2);
    assertThat(text(errors)).contains("--key-file");
  }

  @Test
  void promptGathersLinesUpToSemicolon() throws Exception {
    List<String> statements = new ArrayList<>();
    String typed = "SELECT *\nFROM tenants;\n\nSELECT 'it''s\\n!1';\nexit\nSELECT 3;\n";
    try (Terminal terminal =
        new DumbTerminal(
            new ByteArrayInputStream(typed.getBytes(StandardCharsets.UTF_8)),
            new ByteArrayOutputStream())) {
      new QueryPrompt(
              Optional.empty(),
              statement -> {
                statements.add(statement);
                return 0;
              })
          .run(terminal);
    }

    assertThat(statements).containsExactly("SELECT *\nFROM tenants;", "SELECT 'it''s\\n!1';");
  }

  private int run(String input, String... arguments) {
    QueryCommand command =
        new QueryCommand(
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            stream(out),
            stream(errors),
            environment);
    List<String> line = new ArrayList<>(List.of("query"));
    if (!List.of(arguments).contains("--address")) {
      line.addAll(List.of("--address", node.address().toString()));
    }
    line.addAll(List.of(arguments));
    return new CommandLine("fallturn", "", List.of(command)).run(line.toArray(String[]::new));
  }

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
