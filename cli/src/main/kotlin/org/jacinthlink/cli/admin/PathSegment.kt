package org.jacinthlink.cli.admin

import java.net.URLEncoder

/** [text] as one segment of a path. */
internal fun pathSegment(text: String): String =
    URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
