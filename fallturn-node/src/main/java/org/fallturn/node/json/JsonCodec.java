package org.fallturn.node.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/**
 * Reads and writes messages as JSON by Jackson. Thread-safe. Unknown fields are ignored, so that a
 * newer node can talk to an older one; a missing primitive field is refused.
 */
public final class JsonCodec {

  private static final int MAX_NESTING = 64;

  private final ObjectMapper mapper;

  /** A reader for each type of message, so that its deserializer is looked up once. */
  private final ClassValue<ObjectReader> readers =
      new ClassValue<>() {
        @Override
        protected ObjectReader computeValue(Class<?> type) {
          return mapper.readerFor(type);
        }
      };

  /** A codec with fallturn's fixed settings. */
  public JsonCodec() {
    mapper =
        JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(new InstantModule())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .build();
    mapper
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build());
  }

  /** The mapper, for streaming use. It must not be reconfigured. */
  public ObjectMapper mapper() {
    return mapper;
  }

  /** Writes a message as UTF-8 bytes. */
  public byte[] encode(Object message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write " + message.getClass().getSimpleName(), e);
    }
  }

  /** Writes a message as text. */
  public String encodeText(Object message) {
    try {
      return mapper.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write " + message.getClass().getSimpleName(), e);
    }
  }

  /** Reads a message from UTF-8 bytes. */
  public <T> T decode(byte[] bytes, Class<T> type) throws MalformedMessageException {
    try {
      return requirePresent(readers.get(type).<T>readValue(bytes), type);
    } catch (IOException | IllegalArgumentException e) {
      throw malformed(type, e);
    }
  }

  /** Reads a message from a part of an array of UTF-8 bytes. */
  public <T> T decode(byte[] bytes, int offset, int length, Class<T> type)
      throws MalformedMessageException {
    try {
      return requirePresent(readers.get(type).<T>readValue(bytes, offset, length), type);
    } catch (IOException | IllegalArgumentException e) {
      throw malformed(type, e);
    }
  }

  /** Reads a message from text. */
  public <T> T decode(String text, Class<T> type) throws MalformedMessageException {
    try {
      return requirePresent(readers.get(type).<T>readValue(text), type);
    } catch (IOException | IllegalArgumentException e) {
      throw malformed(type, e);
    }
  }

  private static <T> T requirePresent(T message, Class<T> type) {
    if (message == null) {
      throw new IllegalArgumentException("null where a " + type.getSimpleName() + " is needed");
    }
    return message;
  }

  private static MalformedMessageException malformed(Class<?> type, Exception cause) {
    String detail =
        cause instanceof JsonProcessingException json
            ? json.getOriginalMessage()
            : cause.getMessage();
    return new MalformedMessageException(
        "not a valid " + type.getSimpleName() + ": " + detail, cause);
  }
}
