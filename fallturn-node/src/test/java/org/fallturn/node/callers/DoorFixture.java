package org.fallturn.node.callers;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.configuration.ApiKeyRecord;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.ServiceRecord.ApplicationTarget;
import org.fallturn.core.configuration.ServiceRecord.ModelTarget;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.placement.PlacementService;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.port.table.TableService;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;

/** The callers' door over loopback, with ports played by the test. */
final class DoorFixture implements AutoCloseable {

  static final String KEY = "key-of-alava";
  static final ZoneName ZONE = new ZoneName("lakua");
  private static final ModelName MODEL = new ModelName("order-assistant");
  private static final PoolId POOL = new PoolId(ZONE, MODEL, 0);

  final List<PlacementRequest> placements = new CopyOnWriteArrayList<>();
  final List<PlacementProgress> progress = new CopyOnWriteArrayList<>();
  final List<EngineTarget> decoders = new CopyOnWriteArrayList<>();
  volatile Optional<EngineTarget> prefiller = Optional.empty();
  volatile MachineList machines = new MachineList(1, List.of());
  final CallersModule door;
  private final org.eclipse.jetty.client.HttpClient client =
      new org.eclipse.jetty.client.HttpClient();
  private final HttpClient caller = HttpClient.newHttpClient();

  DoorFixture(TableService table, Duration stallTimeout) throws Exception {
    client.start();
    CallersModuleSettings settings = settings(stallTimeout);
    door =
        new CallersModule(
            new FirstNotExcluded(),
            (tenant, service, tokens) -> new NoLimits(),
            DoorFixture::image,
            () -> machines,
            new JsonHttpClient(client, new JsonCodec()),
            table,
            settings,
            new SimpleMeterRegistry());
    door.start();
  }

  private static CallersModuleSettings settings(Duration stallTimeout) {
    return new CallersModuleSettings(
        new NodeId("node-1"),
        ZONE,
        new NetworkAddress("127.0.0.1", 0),
        16,
        1_000,
        8 * 1024,
        2 * 1024 * 1024,
        16_384,
        16 * 1024,
        64 * 1024,
        Duration.ofSeconds(3),
        stallTimeout,
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        4);
  }

  static ConfigurationImage image() {
    TenantName alava = new TenantName("alava");
    Map<String, ServiceRecord> services = new java.util.HashMap<>();
    Map<String, RuleRecord> rules = new java.util.HashMap<>();
    for (boolean repeatable : new boolean[] {true, false}) {
      String suffix = repeatable ? "" : "-once";
      ServiceRecord model =
          new ServiceRecord(
              new ServiceName("assistant" + suffix),
              new ModelTarget(MODEL, "", ""),
              repeatable,
              20_000,
              60_000);
      ServiceRecord application =
          new ServiceRecord(
              new ServiceName("stock" + suffix),
              new ApplicationTarget(),
              repeatable,
              20_000,
              60_000);
      for (ServiceRecord service : List.of(model, application)) {
        services.put(service.key(), service);
        RuleRecord rule = new RuleRecord(alava, service.service(), 1e9, 1e9, Urgency.HIGH, "");
        rules.put(rule.key(), rule);
      }
    }
    TenantRecord tenant = new TenantRecord(alava, 1e9, 1e9, 1000, 1000, 1);
    ApiKeyRecord key =
        new ApiKeyRecord(
            CallerIdentity.sha256(KEY.getBytes(StandardCharsets.UTF_8)), alava, "test");
    return new ConfigurationImage(
        1,
        Map.of(tenant.key(), tenant),
        Map.of(key.key(), key),
        services,
        rules,
        Map.of(),
        Map.of(),
        Map.of());
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + door.address() + path))
        .timeout(Duration.ofSeconds(60))
        .header("Authorization", "Bearer " + KEY);
  }

  HttpResponse<String> post(String path, String body, String... headers) throws Exception {
    HttpRequest.Builder builder = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return send(builder);
  }

  HttpResponse<String> send(HttpRequest.Builder builder) throws Exception {
    return caller.send(builder.build(), BodyHandlers.ofString());
  }

  HttpClient caller() {
    return caller;
  }

  /** The text of a streamed answer, put together from its events. */
  static String streamedText(String body) throws Exception {
    StringBuilder text = new StringBuilder();
    for (String line : body.split("\n")) {
      if (line.startsWith("data: {")) {
        var event = new JsonCodec().mapper().readTree(line.substring("data: ".length()));
        text.append(event.path("choices").path(0).path("delta").path("content").asText(""));
      }
    }
    return text.toString();
  }

  @Override
  public void close() throws Exception {
    door.close();
    client.stop();
  }

  /** Places on the first decoder that is not excluded. */
  private final class FirstNotExcluded implements PlacementService {

    @Override
    public CompletionStage<PlacementAnswer> place(PlacementRequest request) {
      placements.add(request);
      List<EngineTarget> left = new ArrayList<>(decoders);
      left.removeIf(target -> request.excluded().contains(target.engine()));
      PlacementAnswer answer =
          left.isEmpty()
              ? new PlacementAnswer.Refused(ErrorKind.NO_CAPACITY, "no engine is left", 3_000)
              : new PlacementAnswer.Placed(POOL, new Epoch(1), prefiller, left.get(0));
      return CompletableFuture.completedFuture(answer);
    }

    @Override
    public void report(PlacementProgress message) {
      progress.add(message);
    }
  }

  /** A ticket of an unlimited tenant. */
  private static final class NoLimits implements AdmissionTicket {

    @Override
    public void placed() {
      // Nothing is counted.
    }

    @Override
    public void finished(long usedTokens) {
      // Nothing is counted.
    }
  }
}
