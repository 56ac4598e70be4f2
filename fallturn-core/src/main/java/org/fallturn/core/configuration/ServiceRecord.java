package org.fallturn.core.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.ServiceName;

/**
 * A service that tenants call. For a model the service name is what callers put into {@code model};
 * for an application it is the name in {@code /services/{name}/}.
 *
 * @param service its name
 * @param target what serves it
 * @param repeatable whether a request may be run again after a failure; false means at most once
 * @param defaultDeadlineMillis deadline of a request that names none
 * @param maxDeadlineMillis longest deadline a request may ask for
 */
public record ServiceRecord(
    ServiceName service,
    Target target,
    boolean repeatable,
    long defaultDeadlineMillis,
    long maxDeadlineMillis)
    implements ConfigurationRecord {

  @Override
  @JsonIgnore
  public String key() {
    return service.value();
  }

  /** What serves the requests of a service. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = ModelTarget.class, name = "model"),
    @JsonSubTypes.Type(value = ApplicationTarget.class, name = "application")
  })
  public sealed interface Target {}

  /**
   * Engines of a model.
   *
   * @param model the model
   * @param version the version engines must have loaded; empty for any
   * @param adapter adapter name, or empty
   */
  public record ModelTarget(ModelName model, String version, String adapter) implements Target {}

  /** Application back ends that the machine list names for this service. */
  public record ApplicationTarget() implements Target {}
}
