package org.fallturn.node.gateway;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamReport;

/**
 * The parts of a message between nodes about streams. Names of services and versions are JSON
 * strings of their own, since they may contain any character. Origins are grouped, since most of a
 * message have one service and a few versions:
 *
 * <pre>
 * "j":{"llm":{"v1":0,"v1.1":3200}}       versions: ms since an engine of it was listed
 * "J":[["llm","v1","1f0a9c4e11d2aa07"]]  origins: service, version, keys
 * </pre>
 */
final class StreamReportCodec {

  static final String VERSIONS_KEY = "j";
  static final String ORIGINS_KEY = "J";

  private static final int HEXADECIMAL = 16;

  private StreamReportCodec() {}

  /** The service and the version of origins that are written together. */
  private record Group(String service, String version) {}

  static void write(JsonGenerator out, StreamReport report) throws IOException {
    if (!report.versions().isEmpty()) {
      writeVersions(out, report.versions());
    }
    if (!report.origins().isEmpty()) {
      writeOrigins(out, report.origins());
    }
  }

  private static void writeVersions(JsonGenerator out, Map<String, Map<String, Integer>> services)
      throws IOException {
    out.writeObjectFieldStart(VERSIONS_KEY);
    for (Map.Entry<String, Map<String, Integer>> service : services.entrySet()) {
      out.writeObjectFieldStart(service.getKey());
      for (Map.Entry<String, Integer> version : service.getValue().entrySet()) {
        out.writeNumberField(version.getKey(), version.getValue());
      }
      out.writeEndObject();
    }
    out.writeEndObject();
  }

  private static void writeOrigins(JsonGenerator out, List<StreamOrigin> origins)
      throws IOException {
    Map<Group, List<StreamOrigin>> groups =
        origins.stream()
            .collect(
                Collectors.groupingBy(
                    origin -> new Group(origin.service(), origin.softwareVersion())));
    out.writeArrayFieldStart(ORIGINS_KEY);
    for (Map.Entry<Group, List<StreamOrigin>> group : groups.entrySet()) {
      out.writeStartArray();
      out.writeString(group.getKey().service());
      out.writeString(group.getKey().version());
      for (StreamOrigin origin : group.getValue()) {
        out.writeString(Long.toHexString(origin.key()));
      }
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  /** Reads the value of {@link #VERSIONS_KEY}. */
  static Map<String, Map<String, Integer>> readVersions(JsonParser in) throws IOException {
    Map<String, Map<String, Integer>> services = new HashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      Map<String, Integer> versions = new HashMap<>();
      services.put(in.currentName(), versions);
      in.nextToken();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String version = in.currentName();
        in.nextToken();
        versions.put(version, in.getIntValue());
      }
    }
    return services;
  }

  /** Reads the value of {@link #ORIGINS_KEY}. */
  static List<StreamOrigin> readOrigins(JsonParser in) throws IOException {
    List<StreamOrigin> origins = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY) {
      String service = in.nextTextValue();
      String version = in.nextTextValue();
      if (service == null || version == null) {
        throw new IllegalArgumentException("origins of streams without service or version");
      }
      while (in.nextToken() == JsonToken.VALUE_STRING) {
        long key = Long.parseUnsignedLong(in.getText(), HEXADECIMAL);
        origins.add(new StreamOrigin(key, service, version));
      }
    }
    return origins;
  }
}
