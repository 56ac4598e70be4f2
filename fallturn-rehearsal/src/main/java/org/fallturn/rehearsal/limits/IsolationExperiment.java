package org.fallturn.rehearsal.limits;

import java.io.PrintStream;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.Urgency;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.operators.StatementRequest;
import org.fallturn.rehearsal.application.ExecutionCounts;
import org.fallturn.rehearsal.engine.EngineJournal;
import org.fallturn.rehearsal.experiment.Experiment;
import org.fallturn.rehearsal.experiment.ExperimentOptions;
import org.fallturn.rehearsal.experiment.TextTable;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.fleet.ProcessFleet;
import org.fallturn.rehearsal.load.ClassReport;
import org.fallturn.rehearsal.load.LoadClass;
import org.fallturn.rehearsal.load.LoadGenerator;
import org.fallturn.rehearsal.load.LoadSettings;
import org.fallturn.rehearsal.load.RunReport;

/**
 * {@code experiment isolation}: on real processes, one tenant sends twenty times its share with
 * huge prompts, stuck readers, cancelled streams, forged urgency and the other tenant's idempotency
 * keys. Compares the other tenant's times and goodput with those of the same load alone.
 */
public final class IsolationExperiment implements Experiment {

  private static final Duration RUN = Duration.ofSeconds(12);
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration PATIENCE = Duration.ofSeconds(12);
  private static final int MAX_ROUNDS = 2;
  private static final int MAX_WARM_UPS = 6;
  private static final int MAX_ATTEMPTS = 150;
  private static final long PAUSE_MILLIS = 200;
  private static final int MAX_IN_FLIGHT = 4096;
  private static final double AGGRESSOR_SHARE = 10;
  private static final double AGGRESSOR_FACTOR = 20;
  private static final double TARGET = 0.05;
  private static final String VICTIM_KEYS = "business";

  private static final List<String> LIMITS =
      List.of(
          "UPDATE tenants SET requests_per_second = 10, tokens_per_second = 20000,"
              + " max_concurrent = 16, max_queued = 16 WHERE tenant = 'address-desk'",
          "UPDATE rules SET max_urgency = 'normal' WHERE tenant = 'address-desk'");

  /**
   * The victim's figures with and without the aggressor.
   *
   * @param alone the victim alone
   * @param attacked the victim while the aggressor sends
   * @param aggressor what became of the aggressor's requests
   * @param doubled business keys and requests that ran twice
   */
  private record Round(RunReport alone, RunReport attacked, RunReport aggressor, long doubled) {}

  @Override
  public String name() {
    return "isolation";
  }

  @Override
  public int run(ExperimentOptions options, PrintStream output) throws Exception {
    List<Round> rounds = new ArrayList<>();
    FleetPlan plan = FleetPlan.small(3).withEngines(2, 2).withApplications(2);
    try (ProcessFleet fleet =
        ProcessFleet.start(plan, options.output().resolve("isolation-logs"), options.firstSeed())) {
      setLimits(fleet);
      warmUp(fleet);
      for (int round = 0; round < Math.min(MAX_ROUNDS, options.seeds()); round++) {
        rounds.add(round(fleet, options.firstSeed() + round));
      }
    }
    output.print(table(rounds));
    Files.write(options.output().resolve("isolation.json"), new JsonCodec().encode(rounds));
    return verdict(rounds, output);
  }

  private static Round round(ProcessFleet fleet, long seed) throws Exception {
    String aloneKeys = VICTIM_KEYS + "-alone-" + seed;
    String attackedKeys = VICTIM_KEYS + "-attacked-" + seed;
    RunReport alone = play(fleet, List.of(victimStream(), victimActions(aloneKeys)), RUN, seed);
    CompletableFuture<RunReport> aggressor =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return play(fleet, aggressorClasses(attackedKeys), RUN, seed);
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    RunReport attacked =
        play(fleet, List.of(victimStream(), victimActions(attackedKeys)), RUN, seed);
    RunReport aggressorReport = aggressor.get(2, TimeUnit.MINUTES);
    RunReport journals = attacked.withJournals(journals(fleet), counts(fleet));
    return new Round(alone, attacked, aggressorReport, journals.doubled());
  }

  private static LoadClass victimStream() {
    return LoadClass.streaming(FleetConfiguration.FIRST_KEY, FleetConfiguration.MODEL, 15, 200, 32)
        .named("victim streams");
  }

  private static LoadClass victimActions(String keys) {
    return LoadClass.application(FleetConfiguration.FIRST_KEY, FleetConfiguration.ONCE_SERVICE, 10)
        .named("victim actions")
        .withKeyPrefix(keys);
  }

  private static List<LoadClass> aggressorClasses(String victimKeys) {
    String key = FleetConfiguration.SECOND_KEY;
    double each = AGGRESSOR_SHARE * AGGRESSOR_FACTOR / 4;
    LoadClass stream = LoadClass.streaming(key, FleetConfiguration.MODEL, each, 200, 32);
    LoadClass huge = LoadClass.streaming(key, FleetConfiguration.MODEL, each, 3000, 256);
    return List.of(
        huge.named("huge, forged urgency").withUrgency(Urgency.EMERGENCY),
        stream.named("stuck readers").withReader(LoadClass.Reader.STALLS),
        stream.named("cancelled streams").withReader(LoadClass.Reader.CANCELS),
        LoadClass.application(key, FleetConfiguration.ONCE_SERVICE, each)
            .named("the victim's keys")
            .withKeyPrefix(victimKeys));
  }

  private static RunReport play(
      ProcessFleet fleet, List<LoadClass> classes, Duration duration, long seed) throws Exception {
    List<NetworkAddress> nodes = new ArrayList<>();
    for (FleetNode node : fleet.nodes().values()) {
      nodes.add(node.callers());
    }
    LoadSettings settings =
        new LoadSettings(nodes, classes, duration, seed, MAX_IN_FLIGHT, PATIENCE);
    try (LoadGenerator generator = new LoadGenerator(settings)) {
      return generator.run();
    }
  }

  private static void setLimits(ProcessFleet fleet) throws Exception {
    HttpClient http = new HttpClient();
    http.start();
    try {
      NetworkAddress operators = fleet.nodes().values().iterator().next().operators();
      for (String statement : LIMITS) {
        submit(http, operators, statement);
      }
    } finally {
      http.stop();
    }
  }

  /** Submits a statement; a node that is still starting refuses it as not run. */
  private static void submit(HttpClient http, NetworkAddress operators, String statement)
      throws Exception {
    byte[] body = new JsonCodec().encode(StatementRequest.of(statement));
    ContentResponse answer = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      answer =
          http.newRequest("http://" + operators + StatementRequest.PATH)
              .method("POST")
              .headers(
                  headers ->
                      headers.put("Authorization", "Bearer " + FleetConfiguration.OPERATOR_KEY))
              .body(new BytesRequestContent("application/json", body))
              .timeout(1, TimeUnit.MINUTES)
              .send();
      if (answer.getStatus() == HttpStatus.OK_200) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    throw new IllegalStateException("statement refused: " + answer.getContentAsString());
  }

  /** Plays the victim's load until a whole run of it is clean. */
  private static void warmUp(ProcessFleet fleet) throws Exception {
    for (int attempt = 0; attempt < MAX_WARM_UPS; attempt++) {
      String keys = "warm-up-" + attempt;
      if (play(fleet, List.of(victimStream(), victimActions(keys)), WARM_UP, attempt).isClean()) {
        return;
      }
    }
    throw new IllegalStateException("the fleet did not serve the load alone without an error");
  }

  private static List<EngineJournal> journals(ProcessFleet fleet) throws Exception {
    List<EngineJournal> journals = new ArrayList<>();
    for (ManagedProcess engine : fleet.engines().values()) {
      journals.add(fleet.control().get(engine.address(), "/control/journal", EngineJournal.class));
    }
    return journals;
  }

  private static List<ExecutionCounts> counts(ProcessFleet fleet) throws Exception {
    List<ExecutionCounts> counts = new ArrayList<>();
    for (ManagedProcess application : fleet.applications().values()) {
      counts.add(fleet.control().counts(application.address()));
    }
    return counts;
  }

  private static TextTable table(List<Round> rounds) {
    TextTable table =
        new TextTable(
            "round",
            "load",
            "requests",
            "complete",
            "goodput",
            "not run",
            "unknown",
            "wrong",
            "first token p50 ms",
            "first token p99 ms",
            "whole p99 ms");
    for (int index = 0; index < rounds.size(); index++) {
      Round round = rounds.get(index);
      String number = Integer.toString(index + 1);
      addRow(table, number, "victim alone", round.alone().all());
      addRow(table, number, "victim attacked", round.attacked().all());
      for (ClassReport report : round.aggressor().classes()) {
        addRow(table, number, report.name(), report);
      }
    }
    return table;
  }

  private static void addRow(TextTable table, String round, String load, ClassReport report) {
    table.add(
        round,
        load,
        Long.toString(report.requests()),
        Long.toString(report.complete()),
        TextTable.number(report.goodput(), 4),
        Long.toString(report.notRun()),
        Long.toString(report.unknown()),
        Long.toString(report.wrong()),
        TextTable.number(report.firstToken().p50Millis(), 1),
        TextTable.number(report.firstToken().p99Millis(), 1),
        TextTable.number(report.total().p99Millis(), 1));
  }

  private static int verdict(List<Round> rounds, PrintStream output) {
    boolean sound = true;
    for (Round round : rounds) {
      ClassReport alone = round.alone().all();
      ClassReport attacked = round.attacked().all();
      double p99 = attacked.total().p99Millis() / alone.total().p99Millis();
      double goodput = attacked.goodput() / alone.goodput();
      boolean met = p99 <= 1 + TARGET && goodput >= 1 - TARGET;
      output.printf(
          "victim p99 %.3f times, goodput %.4f times that alone; target within 5 %%: %s%n",
          p99, goodput, met ? "met" : "missed");
      sound &= attacked.wrong() == 0 && alone.wrong() == 0 && attacked.requests() > 0;
      round.attacked().problems().forEach(problem -> output.println("problem: " + problem));
    }
    return sound ? 0 : 1;
  }
}
