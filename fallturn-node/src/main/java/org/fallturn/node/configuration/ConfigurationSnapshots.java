package org.fallturn.node.configuration;

import java.util.Optional;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.port.objectstore.ObjectStore;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Snapshots of the image in the object store, so that a starting node replays only the changes
 * after it. A snapshot may be older than another that it replaced: then only more is replayed.
 */
final class ConfigurationSnapshots {

  /** Name of the one object. */
  static final String OBJECT_NAME = "configuration-snapshot";

  private final ObjectStore objects;
  private final JsonCodec codec;

  ConfigurationSnapshots(ObjectStore objects, JsonCodec codec) {
    this.objects = objects;
    this.codec = codec;
  }

  Optional<ConfigurationImage> load() throws StoreException {
    Optional<byte[]> content = objects.get(OBJECT_NAME);
    if (content.isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(codec.decode(content.get(), ConfigurationImage.class));
    } catch (MalformedMessageException e) {
      throw new StoreException("the snapshot cannot be read: " + e.getMessage(), false, e);
    }
  }

  void save(ConfigurationImage image) throws StoreException {
    objects.put(OBJECT_NAME, codec.encode(image));
  }
}
