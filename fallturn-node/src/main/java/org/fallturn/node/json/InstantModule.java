package org.fallturn.node.json;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;

/** Writes {@link Instant} as ISO-8601 text and reads it back. */
final class InstantModule extends SimpleModule {

  private static final long serialVersionUID = 1L;

  InstantModule() {
    super("instant");
    addSerializer(Instant.class, new InstantSerializer());
    addDeserializer(Instant.class, new InstantDeserializer());
  }

  private static final class InstantSerializer extends StdScalarSerializer<Instant> {
    private static final long serialVersionUID = 1L;

    InstantSerializer() {
      super(Instant.class);
    }

    @Override
    public void serialize(Instant value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeString(value.toString());
    }
  }

  private static final class InstantDeserializer extends StdScalarDeserializer<Instant> {
    private static final long serialVersionUID = 1L;

    InstantDeserializer() {
      super(Instant.class);
    }

    @Override
    public Instant deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      try {
        return Instant.parse(parser.getText());
      } catch (DateTimeException e) {
        throw new IOException("not an ISO-8601 instant: " + parser.getText(), e);
      }
    }
  }
}
