package org.fallturn.node.operators;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.SelectionExecutor;
import org.fallturn.core.query.TableSchema;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class StatementParserTest {

  private static final TableSchema ENGINES =
      TableSchema.of(
          "engines",
          Column.text("engine"),
          Column.text("role"),
          Column.integer("running"),
          Column.bool("draining"));

  private static final List<Row> ROWS =
      List.of(
          Row.of("lakua-1", "PREFILL", 3, false),
          Row.of("lakua-2", "DECODE", 12, false),
          Row.of("jundiz-1", "DECODE", 5, true),
          Row.of("jundiz-2", "DECODE", null, false));

  private final StatementParser parser = new StatementParser(Map.of("engines", ENGINES));

  @AfterEach
  void closeParser() {
    parser.close();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "SELECT engine FROM engines WHERE role = 'DECODE' AND running > 5 | lakua-2",
        "SELECT engine FROM engines WHERE NOT (role = 'DECODE' OR draining) | lakua-1",
        "SELECT engine FROM engines WHERE running <> 3 ORDER BY running | jundiz-1 lakua-2",
        "SELECT engine FROM engines WHERE running IS NULL | jundiz-2",
        "SELECT engine FROM engines WHERE running IS NOT NULL ORDER BY 1 DESC LIMIT 1 | lakua-2",
        "SELECT engine FROM engines WHERE engine LIKE 'lak%_2' | lakua-2",
        "SELECT engine FROM engines WHERE engine ILIKE 'LAKUA-1' | lakua-1",
        "SELECT engine FROM engines WHERE running IN (3, 5) ORDER BY engine | jundiz-1 lakua-1",
        "SELECT engine FROM engines WHERE running NOT IN (3, NULL) | ''",
        "SELECT engine FROM engines WHERE running BETWEEN 4 AND 12 ORDER BY running | jundiz-1 lakua-2",
        "SELECT engine FROM engines WHERE draining = TRUE | jundiz-1",
        "SELECT engine FROM engines ORDER BY running DESC LIMIT 2 OFFSET 1 | jundiz-1 lakua-1",
        "SELECT count(*) FROM engines | 4",
        "SELECT count(running) FROM engines | 3",
        "SELECT sum(running) AS total FROM engines | 20",
        "SELECT avg(running) FROM engines WHERE role = 'DECODE' | 8.5",
        "SELECT min(engine) FROM engines WHERE FALSE | ''",
        "SELECT e.engine FROM engines WHERE 1 = 1 | refused",
        "SELECT role FROM engines GROUP BY role ORDER BY role | DECODE PREFILL",
        "SELECT max(running) AS most FROM engines GROUP BY role ORDER BY most DESC | 12 3"
      })
  void selects(String statement, String expected) throws Exception {
    if (expected.equals("refused")) {
      assertThatThrownBy(() -> parser.parse(statement)).isInstanceOf(FallturnException.class);
      return;
    }
    Submission.Query query = (Submission.Query) parser.parse(statement);

    List<String> first =
        SelectionExecutor.execute(query.selection(), ROWS).stream()
            .map(row -> row.get(0).text())
            .toList();

    assertThat(String.join(" ", first)).isEqualTo(expected.replace("''", ""));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "SELECT * FROM motors | no table motors; there are [engines]",
        "SELECT colour FROM engines | its columns are [engine, role, running, draining]",
        "SELECT upper(role) FROM engines | there are count, sum, min, max and avg",
        "SELECT DISTINCT role FROM engines | not supported",
        "SELECT * FROM engines a JOIN engines b ON a.engine = b.engine | not supported",
        "SELECT * FROM engines WHERE engine = (SELECT 1) | a constant is needed",
        "SELECT * FROM (SELECT 1) t | FROM needs the name of one table",
        "SELECT engine, count(*) FROM engines | must be in GROUP BY",
        "SELECT role FROM engines GROUP BY role HAVING count(*) > 1 | not supported",
        "SELECT * FROM engines UNION SELECT * FROM engines | not supported",
        "SELECT * FROM engines FOR UPDATE | not supported",
        "SELECT * FROM engines LIMIT -1 | LIMIT needs a whole number",
        "SELECT count(DISTINCT role) FROM engines | not supported",
        "SELECT * FROM engines WHERE running > 99999999999999999999 | out of range",
        "DROP TABLE engines | not supported here",
        "UPDATE engines SET role = 'DECODE' WHERE TRUE | table engines cannot be changed; only",
        "DELETE FROM tenants | WHERE is needed",
        "UPDATE tenants SET tenant = 'x' WHERE tenant = 'y' | names the row and cannot be changed",
        "UPDATE tenants SET max_queued = max_queued + 1 WHERE TRUE | a constant is needed",
        "INSERT INTO tenants (tenant, colour) VALUES ('a', 'red') | has no column colour",
        "INSERT INTO tenants (tenant, tenant) VALUES ('a', 'b') | given twice",
        "INSERT INTO tenants (tenant) VALUES ('a', 'b') | 1 columns but 2 values",
        "INSERT INTO tenants VALUES ('a') | allowed is INSERT INTO table (columns)",
        "INSERT INTO tenants (tenant) SELECT 1 | allowed is INSERT INTO table (columns)",
        "SET other = 1; DELETE FROM tenants WHERE TRUE | only SET expected_version",
        "SET expected_version = 3 | nothing to do",
        "SELECT * FROM engines; DELETE FROM tenants WHERE TRUE | not supported here",
        "SELEKT * FROM engines | cannot be parsed",
        "; | the statement cannot be parsed"
      })
  void refusesWithReason(String statement, String reason) {
    assertThatThrownBy(() -> parser.parse(statement))
        .isInstanceOf(FallturnException.class)
        .hasMessageContaining(reason);
  }

  @ParameterizedTest
  @ValueSource(ints = {17, 5_000, 60_000})
  void deepNestingIsRefusedQuickly(int depth) {
    String statement =
        "SELECT * FROM engines WHERE " + "(".repeat(depth) + "TRUE" + ")".repeat(depth);

    assertThatThrownBy(() -> parser.parse(statement)).isInstanceOf(FallturnException.class);
  }

  @Test
  void statementsOfOneSubmissionSeeEachOther() throws Exception {
    PlannedChange plan =
        plan(
            """
            SET expected_version = 0;
            INSERT INTO tenants (tenant, requests_per_second, tokens_per_second)
              VALUES ('alava', 50, 90000), ('guatemala', 20, 10000.5);
            UPDATE tenants SET max_queued = 7 WHERE tenant = 'alava';
            DELETE FROM tenants WHERE tenant LIKE 'guat%';
            """);

    assertThat(plan.puts()).hasSize(1);
    assertThat(plan.puts().get(0).key()).isEqualTo("alava");
    assertThat(plan.puts().get(0).toString()).contains("maxQueued=7");
    assertThat(plan.removals()).isEmpty();
  }

  @Test
  void missingAndMistypedValuesNameColumn() {
    assertThatThrownBy(() -> plan("INSERT INTO tenants (tenant) VALUES ('a')"))
        .hasMessageContaining("table tenants: column requests_per_second needs a value");
    assertThatThrownBy(
            () ->
                plan(
                    "INSERT INTO rules (tenant, service, requests_per_second, tokens_per_second,"
                        + " max_urgency) VALUES ('a', 's', 1, 1, 'LOUD')"))
        .hasMessageContaining("max_urgency must be one of [BATCH, NORMAL, HIGH, EMERGENCY]");
  }

  @Test
  void keyLeftOutIsGeneratedAndOnlyItsHashIsStored() throws Exception {
    Submission.Change change =
        (Submission.Change)
            parser.parse("INSERT INTO api_keys (tenant, label) VALUES ('alava', 'first')");

    GeneratedKey generated = change.generatedKeys().get(0);
    PlannedChange plan = change.program().plan(ConfigurationImage.EMPTY);
    assertThat(generated.name()).isEqualTo("alava/first");
    assertThat(plan.puts().get(0).key()).isEqualTo(KeyHashes.hash(generated.key()));
    assertThat(generated.toString()).doesNotContain(generated.key());
  }

  @Test
  void quotedQuoteIsPartOfText() throws Exception {
    PlannedChange plan =
        plan("INSERT INTO machine_drains (machine, reason) VALUES ('e-1', 'it''s hot')");

    assertThat(plan.puts().get(0).toString()).contains("it's hot");
  }

  private PlannedChange plan(String statement) throws FallturnException {
    Submission.Change change = (Submission.Change) parser.parse(statement);
    return change.program().plan(ConfigurationImage.EMPTY);
  }
}
