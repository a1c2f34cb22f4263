package org.jacinthlink.entry.admin

import java.security.MessageDigest
import org.http4k.core.Request

/** Checks the bearer token of operators. The comparison takes the same time for any value. */
internal class OperatorCheck(operatorToken: String) {
    private val expected = operatorToken.toByteArray()

    fun isOperator(request: Request): Boolean {
        val header = request.header("Authorization") ?: return false
        if (!header.startsWith(BEARER, ignoreCase = true)) return false
        return MessageDigest.isEqual(expected, header.substring(BEARER.length).toByteArray())
    }

    private companion object {
        const val BEARER = "Bearer "
    }
}
